"""A stand-in for another gateway: a record in the store, and a socket for datagrams."""

import socket

import msgspec

from berylrock.core import routing
from berylrock.daemons.gateway import gossipmessage
from berylrock.platform import decoding

from . import gatewayprocess

TIMEOUT_S = 10.0
MAX_BYTES = 65_536


class PeerGateway:
    """Another gateway, as the gateway under test sees it.

    Attributes:
      name: Name of the gateway.
      host: Its address.
    """

    def __init__(self, fleet, name):
        """Listen for datagrams and write the record to the store.

        Args:
          fleet: Fleet whose gateway is under test.
          name: Name of the stand-in.
        """
        self.name = name
        self.host = gatewayprocess.new_host()
        self._target = (fleet.host, fleet.peer_port)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((self.host, fleet.peer_port))
        self._sock.settimeout(TIMEOUT_S)
        record = routing.Peer(name, self.host, "etna-a", 20.0, 1, {}, 0)
        fleet.put("gateways", name, decoding.encode_peer(record))

    def receive_mark(self):
        """Wait for a datagram of the gateway under test, and return its timestamp."""
        data = self._sock.recv(MAX_BYTES)
        return msgspec.msgpack.decode(data, type=gossipmessage.GossipMessage).mark

    def receive_next_mark(self):
        """Wait for a datagram that was not sent yet, and return its timestamp."""
        self._sock.settimeout(0.0)
        try:
            while True:
                self._sock.recv(MAX_BYTES)
        except BlockingIOError:
            self._sock.settimeout(TIMEOUT_S)
        return self.receive_mark()

    def send(self, message, repeated=gossipmessage.NO_TIMESTAMP):
        """Send a message that echoes a timestamp."""
        message.repeated = repeated
        self._sock.sendto(msgspec.msgpack.encode(message), self._target)

    def close(self):
        """Stop listening."""
        self._sock.close()
