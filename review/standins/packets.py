"""Packets of flows, as PROTOCOL.md lays them out: a head of 34 bytes and the data."""

import struct
import zlib
from collections import namedtuple

SYN, ACK, FIN, RST, BOUNCED = 32, 128, 1, 64, 2
HEAD = struct.Struct(">4sHH4sIIHIIB3s")
DATA_LIMIT = 1200
KEY = b"the key of both ends"

Packet = namedtuple("Packet", "dst dport sport src sum echo length seq ack flags pad data")


def address(text):
    return bytes(int(part) for part in text.split("."))


def text(raw):
    return ".".join(str(part) for part in raw)


def keyed_sum(dst, dport, sport, src, seq, ack, flags, data):
    head = struct.pack(">4sHH4sIIB", dst, dport, sport, src, seq, ack, flags & ~BOUNCED)
    return zlib.crc32(KEY + head + data) or 1


def build(dst, dport, src, sport, flags, seq, ack, data=b""):
    total = keyed_sum(dst, dport, sport, src, seq, ack, flags, data)
    return HEAD.pack(dst, dport, sport, src, total, 0, len(data), seq, ack, flags, bytes(3)) + data


def parse(raw):
    """Returns the packet, or None if these bytes are none."""
    if len(raw) < HEAD.size:
        return None
    fields = HEAD.unpack(raw[:HEAD.size])
    data = raw[HEAD.size:]
    if fields[6] != len(data):
        return None
    return Packet(*fields, data)


def is_genuine(packet):
    """Tells whether the packet is as its sender wrote it."""
    return packet.sum == keyed_sum(packet.dst, packet.dport, packet.sport, packet.src,
                                   packet.seq, packet.ack, packet.flags, packet.data)


def bounce(raw):
    """Returns the packet as a host that can't use it returns it."""
    head = bytearray(raw)
    head[30] |= BOUNCED
    head[31:34] = bytes(3)
    return bytes(head)
