"""Hosts of other processes that are no addresses."""

import socket

import pytest

from briarrill.coordination.report_sender import ReportSender
from briarrill.protocol.load_reports import LoadReport


@pytest.mark.parametrize(
    'host', ['\u00e9' * 70, 'a\0b', 'a b', '', 'x' * 300], ids=ascii
)
def test_host_that_is_no_address_gets_no_report(host):
    """A member record of another writer may hold any text."""
    sender = ReportSender(9, lambda: LoadReport('p', 'h', 1, 1), set, set)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sender.send(sock, b'x', host)
