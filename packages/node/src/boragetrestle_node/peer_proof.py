"""Proof that a peer belongs to the fleet, exchanged before any message."""

import hashlib
import hmac
import secrets
from collections.abc import Sequence

from boragetrestle_kernel.errors import WireError

PROOF_HEADER = 'Boragetrestle-Proof'

_NONCE_BYTES = 16
_PROOF_PARTS = 4
_MAX_SKEW_SECONDS = 300


class PeerProver:
    """Make and check proofs with the fleet's secrets.

    The first secret makes proofs; each of them is accepted.

    >>> prover = PeerProver([b'secret'])
    >>> prover.check(prover.make('node-1', now=5.0), now=6.0)
    'node-1'
    """

    def __init__(self, fleet_secrets: Sequence[bytes]) -> None:
        self.secrets = tuple(fleet_secrets)

    def make(self, node: str, *, now: float) -> str:
        """Return the header value that proves this node."""
        claim = f'{node} {int(now)} {secrets.token_hex(_NONCE_BYTES)}'
        return f'{claim} {_mac(self.secrets[0], claim)}'

    def answer(self, proof: str, node: str) -> str:
        """Return the listener's proof, bound to the proof of the dialer."""
        claim = f'{node} {proof}'
        return f'{node} {_mac(self.secrets[0], claim)}'

    def check(self, proof: str, *, now: float) -> str:
        """Return the dialing node; raise ``WireError`` for a bad proof."""
        parts = proof.split(' ')
        if len(parts) != _PROOF_PARTS or not parts[1].isdigit():
            raise WireError('the peer shows no proof')
        claim, _, shown = proof.rpartition(' ')
        self._require(claim, shown)
        if abs(int(parts[1]) - now) > _MAX_SKEW_SECONDS:
            raise WireError(
                'the proof of the peer is old',
                remedy='set the clocks of both hosts',
            )
        return parts[0]

    def check_answer(self, proof: str, answer: str) -> str:
        """Return the listening node; raise ``WireError`` for a bad proof."""
        node, _, shown = answer.partition(' ')
        self._require(f'{node} {proof}', shown)
        return node

    def _require(self, claim: str, shown: str) -> None:
        good = [
            hmac.compare_digest(_mac(secret, claim), shown)
            for secret in self.secrets
        ]
        if not any(good):
            raise WireError(
                'the proof of the peer is wrong',
                remedy='give both nodes the same fleet secret',
            )


def _mac(secret: bytes, claim: str) -> str:
    return hmac.new(secret, claim.encode(), hashlib.sha256).hexdigest()
