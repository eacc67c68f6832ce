package daemon

import (
	"github.com/azurethread/azurethread/decide/config"
	"github.com/azurethread/azurethread/decide/engine"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/machine"
	"github.com/azurethread/azurethread/decide/member"
	"github.com/azurethread/azurethread/decide/tally"
	"github.com/azurethread/azurethread/serve/peer"
)

// provisionPeers starts the transport between entry VMs.
func (d *Daemon) provisionPeers(inc fleet.Incarnation) error {
	var err error
	d.peers, err = peer.New(peer.Options{
		ID:          d.settings.ID,
		Incarnation: inc,
		Key:         []byte(d.settings.FleetKey),
		Link:        d.link,
	}, d.handleEnvelope, d.handleSendFailed)
	if err != nil {
		return err
	}
	d.peerAddr, err = d.peers.Listen(d.settings.PeerAddr)
	return err
}

// handleEnvelope decodes the messages of a frame. A message that cannot be
// decoded is counted and skipped. The frame's MAC proves that a member of the
// fleet sent it, so the cause is a defect or another release, not an attack.
func (d *Daemon) handleEnvelope(from fleet.VMID, env peer.Envelope) {
	m := &engine.PeerMessage{From: from, Incarnation: env.FromIncarnation}
	for _, b := range env.Bodies {
		if err := decodeBody(b, m); err != nil {
			d.metrics.messagesRefused.Add(1)
			d.log.WithError(err).WithField("from", from).Debug("undecodable message from another entry VM skipped")
			continue
		}
		if b.Kind == peer.KindLoad {
			continue // posted with the message that follows it
		}
		d.postIfStarted(m)
		m = &engine.PeerMessage{From: from, Incarnation: env.FromIncarnation}
	}
	if m.Load != nil {
		d.postIfStarted(m)
	}
}

// decodeBody fills the part of m that b holds.
func decodeBody(b peer.Body, m *engine.PeerMessage) error {
	var err error
	switch {
	case b.IsMember():
		m.Member, err = peer.DecodeMember(b)
	case b.Kind == peer.KindLoad:
		m.Load, err = peer.DecodeLoad(b)
	case b.Kind == peer.KindConfig:
		m.Config, err = decodeMessage[config.Body](b)
	case b.Kind == peer.KindTally:
		m.Tally, err = decodeMessage[tally.Body](b)
	case b.Kind == peer.KindMachine:
		m.Machine, err = decodeMessage[machine.Body](b)
	default:
		err = peer.ErrKind
	}
	return err
}

// messageBody is the wire format of a package's messages. It holds exactly one.
type messageBody[M any] interface {
	Message() (M, error)
}

// decodeMessage decodes the message of type M from its wire format W.
func decodeMessage[W messageBody[M], M any](b peer.Body) (M, error) {
	var w W
	if err := peer.Decode(b, peer.MaxBody, &w); err != nil {
		var none M
		return none, err
	}
	return w.Message()
}

// postIfStarted posts an event from a peer to the core. Events that arrive while
// the daemon is being set up are dropped, because the core does not exist yet.
func (d *Daemon) postIfStarted(ev engine.Event) {
	if d.started.Load() {
		d.core.Post(ev)
	}
}

func (d *Daemon) handleSendFailed(to fleet.VMID) { d.postIfStarted(&member.SendFailed{To: to}) }

// sendPeer sends a message to another entry VM. A message that cannot be sent is
// only counted, since the protocols above repeat or repair their messages.
func (d *Daemon) sendPeer(s engine.PeerSend) {
	bodies, err := encodeBodies(s)
	if err == nil {
		err = d.peers.Send(s.To, bodies...)
	}
	if err != nil {
		d.metrics.messagesUnsent.Add(1)
	}
}

// encodeBodies encodes a message, preceded by the load report sent with it.
func encodeBodies(s engine.PeerSend) ([]peer.Body, error) {
	var e bodyEncoder
	if s.Load != nil {
		e.add(peer.EncodeLoad(s.Load))
	}
	if s.Member != nil {
		e.add(peer.EncodeMember(s.Member))
	}
	if s.Config != nil {
		e.add(peer.Encode(peer.KindConfig, config.NewBody(s.Config)))
	}
	if s.Tally != nil {
		e.add(peer.Encode(peer.KindTally, tally.NewBody(s.Tally)))
	}
	if s.Machine != nil {
		e.add(peer.Encode(peer.KindMachine, machine.NewBody(s.Machine)))
	}
	return e.bodies, e.err
}

// bodyEncoder collects encoded bodies and the first error.
type bodyEncoder struct {
	bodies []peer.Body
	err    error
}

func (e *bodyEncoder) add(b peer.Body, err error) {
	if e.err == nil {
		e.err = err
	}
	e.bodies = append(e.bodies, b)
}
