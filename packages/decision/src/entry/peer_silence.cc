#include "peer_silence.h"

#include <algorithm>

namespace basilsill {
namespace {

// The estimator of retransmission timeouts (RFC 6298), with a wider margin:
// service times have a longer tail than round trips.
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;
constexpr int kDeviations = 6;
constexpr int kExpectedTimes = 4;

// If a dispatcher with a long queue is wrongly taken for silent, a second
// dispatcher starts to use the same upstreams, so the minimum is generous.
constexpr Duration kMinTimeout = std::chrono::milliseconds(100);
constexpr Duration kFirstTimeout = std::chrono::seconds(1);

}  // namespace

PeerSilence::Peer& PeerSilence::PeerOf(VmHandle vm) {
  if (vm.index >= this->peers.size()) {
    this->peers.resize(vm.index + 1);
  }
  Peer& peer = this->peers[vm.index];
  if (peer.vm != vm) {
    peer = Peer();
    peer.vm = vm;
  }
  return peer;
}

void PeerSilence::OnSent(TimePoint now, VmHandle vm) {
  Peer& peer = this->PeerOf(vm);
  if (peer.waiting++ == 0) {
    peer.since = now;
  }
}

void PeerSilence::OnDone(VmHandle vm) {
  Peer& peer = this->PeerOf(vm);
  peer.waiting -= peer.waiting > 0 ? 1 : 0;
}

void PeerSilence::OnReceived(TimePoint now, VmHandle vm) {
  Peer& peer = this->PeerOf(vm);
  if (peer.waiting == 0) {
    return;
  }
  const Duration took = now - peer.since;
  const Duration error = took > peer.mean ? took - peer.mean : peer.mean - took;
  if (peer.known) {
    peer.deviation += (error - peer.deviation) / kDeviationDivisor;
    peer.mean += (took - peer.mean) / kMeanDivisor;
  } else {
    peer.mean = took;
    peer.deviation = took / 2;
  }
  peer.known = true;
  peer.since = now;
}

bool PeerSilence::IsSilent(TimePoint now,
                           VmHandle vm,
                           Duration expected) const {
  if (vm.index >= this->peers.size() || this->peers[vm.index].vm != vm) {
    return false;
  }
  const Peer& peer = this->peers[vm.index];
  const Duration usual =
      peer.known ? peer.mean + kDeviations * peer.deviation : kFirstTimeout;
  const Duration timeout =
      std::max({kMinTimeout, usual, kExpectedTimes * expected});
  return peer.waiting > 0 && now - peer.since > timeout;
}

}  // namespace basilsill
