#!/bin/sh
cd "$(dirname "$0")/../.."
exec target/review/standins stale-relay review/9
