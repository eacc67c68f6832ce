package ingress

import (
	"crypto/sha256"
	"reflect"
	"slices"
	"strings"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
	"github.com/azurethread/azurethread/decide/quarantine"
	"github.com/azurethread/azurethread/decide/route"
	"github.com/azurethread/azurethread/serve/peer"
)

// Kinds of messages between entry VMs. Only requests need an answer: the other
// messages answer a request, or another one of the same kind follows soon.
const (
	kindPlacementRequest = peer.KindIngress + iota
	kindGrant
	kindDeny
	kindWithdraw
	kindReport
	kindQuarantine
	kindTokenRequest
	kindTokenGrant
	kindTargetNotices
	kindGrantTerms
	kindTokenDemand
	kindTargetPace
	kindHedgeRequest
	kindGrantWork
	kindTargetCold
)

const (
	kindRelayRequest = peer.KindRelay + iota
	kindRelay
	kindCopyRequest
	kindCopy
)

// messagesByKind returns an empty message of each kind that the reducer handles.
var messagesByKind = map[peer.Kind]func() ingress.Message{
	kindPlacementRequest: func() ingress.Message { return new(ingress.PlacementRequest) },
	kindGrant:            func() ingress.Message { return new(ingress.Grant) },
	kindDeny:             func() ingress.Message { return new(ingress.Deny) },
	kindWithdraw:         func() ingress.Message { return new(ingress.Withdraw) },
	kindReport:           func() ingress.Message { return new(ingress.Report) },
	kindQuarantine:       func() ingress.Message { return new(quarantine.Record) },
	kindTokenRequest:     func() ingress.Message { return new(ingress.TokenRequest) },
	kindTokenGrant:       func() ingress.Message { return new(ingress.TokenGrant) },
	kindTargetNotices:    func() ingress.Message { return new(ingress.TargetNotices) },
	kindGrantTerms:       func() ingress.Message { return new(ingress.GrantTerms) },
	kindTokenDemand:      func() ingress.Message { return new(ingress.TokenDemand) },
	kindTargetPace:       func() ingress.Message { return new(ingress.TargetPace) },
	kindHedgeRequest:     func() ingress.Message { return new(ingress.HedgeRequest) },
	kindGrantWork:        func() ingress.Message { return new(ingress.GrantWork) },
	kindTargetCold:       func() ingress.Message { return new(ingress.TargetCold) },
}

// kindsByMessage is the kind of each type of messagesByKind.
var kindsByMessage = func() map[reflect.Type]peer.Kind {
	kinds := make(map[reflect.Type]peer.Kind, len(messagesByKind))
	for kind, create := range messagesByKind {
		kinds[reflect.TypeOf(create())] = kind
	}
	return kinds
}()

// accountPlacement is the message of a placement request with a client account.
type accountPlacement struct {
	Account route.AccountName
	Request ingress.PlacementRequest
}

// startPeers starts the transport between entry VMs.
func (s *Server) startPeers() error {
	var err error
	s.peers, err = peer.New(peer.Options{
		ID:          s.settings.Self.ID,
		Incarnation: s.settings.Self.Incarnation,
		Key:         deploymentKey(s.settings),
	}, s.receiveFrame, nil)
	if err != nil {
		return err
	}
	s.settings.Self.PeerAddr, err = s.peers.Listen(s.settings.Self.PeerAddr)
	return err
}

// deploymentKey separates deployments that share a network by mistake. It is
// derived from the settings, which contain no secret, so it does not
// authenticate the sender.
func deploymentKey(set *Settings) []byte {
	var names []string
	for d, r := range set.Regions {
		names = append(names, string(r)+"/"+string(d))
	}
	slices.Sort(names)
	key := sha256.Sum256([]byte(strings.Join(names, "\n")))
	return key[:]
}

// receiveFrame processes a frame from another entry VM.
func (s *Server) receiveFrame(from fleet.VMID, env peer.Envelope) {
	for _, b := range env.Bodies {
		if err := s.receiveMessage(from, b); err != nil {
			s.log.WithError(err).WithField("from", from).Warn("message from another entry VM rejected")
		}
	}
}

func (s *Server) receiveMessage(from fleet.VMID, b peer.Body) error {
	switch b.Kind {
	case peer.KindAccountPlacement:
		return s.receiveAccountPlacement(from, b)
	case kindRelayRequest:
		return s.receiveRelayRequest(from, b)
	case kindRelay:
		return s.receiveRelayPage(from, b)
	case kindCopyRequest:
		return s.receiveCopyRequest(from, b)
	case kindCopy:
		return s.receiveCopyPage(from, b)
	}
	create, known := messagesByKind[b.Kind]
	if !known {
		return peer.ErrKind
	}
	m := create()
	if err := peer.Decode(b, peer.MaxBody, m); err != nil {
		return err
	}
	s.core.Post(&ingress.IncomingMessage{From: from, Message: m})
	return nil
}

func (s *Server) receiveAccountPlacement(from fleet.VMID, b peer.Body) error {
	var p accountPlacement
	if err := peer.Decode(b, peer.MaxBody, &p); err != nil {
		return err
	}
	p.Request.Account = p.Account
	s.core.Post(&ingress.IncomingMessage{From: from, Message: &p.Request})
	return nil
}

// sendMessage executes an OutgoingMessage. A message that cannot be sent is
// dropped, just as it may be lost in the network: the sender of a request has a
// timeout.
func (s *Server) sendMessage(t *ingress.OutgoingMessage) {
	if m, ok := t.Message.(*ingress.PlacementRequest); ok && m.Account != "" {
		s.sendToID(t.To, peer.KindAccountPlacement, &accountPlacement{Account: m.Account, Request: *m})
		return
	}
	s.sendToID(t.To, kindsByMessage[reflect.TypeOf(t.Message)], t.Message)
}

// sendToID sends a message to an entry VM. A VM that is not on the list of entry
// VMs can be reached only on a connection that it has opened.
func (s *Server) sendToID(to fleet.VMID, kind peer.Kind, m any) { s.sendTo(s.peerOf(to), kind, m) }

// peerOf returns the entry VM with this id; if it is not on the list, only the
// id is set.
func (s *Server) peerOf(id fleet.VMID) fleet.VM {
	vm, known := s.member(id)
	if !known {
		vm = fleet.VM{ID: id}
	}
	return vm
}

func (s *Server) sendTo(vm fleet.VM, kind peer.Kind, m any) {
	b, err := peer.Encode(kind, m)
	if err != nil {
		s.log.WithError(err).WithField("to", vm.ID).Error("message cannot be encoded")
		return
	}
	s.sendBody(vm, b)
}

func (s *Server) sendBody(vm fleet.VM, b peer.Body) {
	if err := s.peers.Send(vm, b); err != nil {
		s.log.WithError(err).WithField("to", vm.ID).Debug("message not sent")
	}
}
