"""A fleet with TLS for callers, operators and peers, and a reload of its certificates."""

import asyncio
import datetime
import json
import ssl

import anyio
import h2.config
import h2.connection
import h2.events
import httpx
import listen_addresses
import live
import test_live
import trustme
import typer.testing

from dogwoodgap import client, ctl, ctl_session, frames, tls
from dogwoodgap_wire import ttypes

EXPIRED = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)


def write_certificate(authority: trustme.CA, folder, **options) -> None:
    """Write a new certificate and key, which all nodes use."""
    certificate = authority.issue_cert("127.0.0.1", **options)
    certificate.private_key_pem.write_to_path(folder / "key.pem")
    (folder / "cert.pem").write_bytes(b"".join(pem.bytes() for pem in certificate.cert_chain_pems))


def tls_section(folder) -> dict:
    """Return the ``tls`` section of the settings."""
    return {
        "certificate": str(folder / "cert.pem"),
        "key": str(folder / "key.pem"),
        "client_authority": str(folder / "authority.pem"),
    }


async def certificate_serial(fleet: live.LiveFleet, trust: ssl.SSLContext) -> int:
    """Return the serial number of the certificate that a node presents."""
    host, port = fleet.http_addresses[0].split(":")
    reader, writer = await asyncio.open_connection(host, int(port), ssl=trust)
    found = writer.get_extra_info("peercert")["serialNumber"]
    writer.close()
    return int(found, 16)


async def get_health_over_http2(
    fleet: live.LiveFleet, trust: ssl.SSLContext
) -> tuple[str | None, bytes]:
    """Return the protocol and the body of ``GET /health`` over HTTP/2."""
    host, port = fleet.http_addresses[0].split(":")
    reader, writer = await asyncio.open_connection(host, int(port), ssl=trust)
    protocol = writer.get_extra_info("ssl_object").selected_alpn_protocol()
    connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    connection.initiate_connection()
    pseudo = [(":method", "GET"), (":path", "/health"), (":scheme", "https")]
    connection.send_headers(1, [*pseudo, (":authority", fleet.http_addresses[0])], end_stream=True)
    writer.write(connection.data_to_send())
    body = b""
    while True:
        for event in connection.receive_data(await reader.read(65536)):
            if isinstance(event, h2.events.DataReceived):
                body += event.data
            if isinstance(event, h2.events.StreamEnded):
                writer.close()
                return protocol, body


def run_ctl(fleet: live.LiveFleet, folder, *arguments: str) -> typer.testing.Result:
    """Run ``dogwoodgap-ctl`` with the authority and the administrator's key."""
    (folder / "key").write_text(live.ADMIN_KEY)
    options = ["--node", fleet.url(), "--authority", str(folder / "authority.pem")]
    options += ["--key-file", str(folder / "key")]
    return typer.testing.CliRunner().invoke(ctl.cli, [*options, *arguments])


async def check_expired_certificate(fleet, authority, folder):
    """Present an expired certificate; the error of the command line must name the cause."""
    write_certificate(authority, folder, not_before=EXPIRED, not_after=EXPIRED)
    certificates = fleet.nodes[0].certificates
    await live.wait_until(lambda: certificates.loaded_files == certificates.file_states())
    result = await anyio.to_thread.run_sync(run_ctl, fleet, folder, "nodes", "list")
    assert result.exit_code == ctl_session.EXIT_NO_NODE
    assert "certificate has expired" in result.output


async def check_peer_without_certificate(fleet, context):
    """Send a hello as a node without a certificate; it must get no response."""
    host, port = fleet.peer_addresses[0].split(":")
    reader, writer = await asyncio.open_connection(host, int(port), ssl=context)
    member = ttypes.Member(node="n3", boot="b1")
    hello = ttypes.Hello(member=member, protocol_version=frames.PROTOCOL_VERSION)
    try:
        writer.write(frames.encode(0, hello))
        assert await reader.read(1) == b""
    except (ssl.SSLError, ConnectionError):
        pass
    writer.close()


async def check_peer_connection(fleet):
    """Open a new connection between two nodes, which uses the new certificate."""
    reply = await fleet.nodes[0].fleet.network.request(
        fleet.peer_addresses[1], ttypes.Heartbeat(), ttypes.Ack, timeout_s=5, reconnect=True
    )
    assert reply.sender.node == "n2"


def test_fleet_over_tls(tmp_path, monkeypatch):
    """Guards against unencrypted connections, proxies from the environment and a failed reload.

    Peers without a certificate of the authority must be refused.
    """
    authority = trustme.CA()
    authority.cert_pem.write_to_path(tmp_path / "authority.pem")
    write_certificate(authority, tmp_path)
    monkeypatch.setenv("ALL_PROXY", f"http://{listen_addresses.free_address()}")
    monkeypatch.setattr(tls, "RELOAD_INTERVAL_S", 0.05)
    trust = ssl.create_default_context(cafile=str(tmp_path / "authority.pem"))
    h2_trust = ssl.create_default_context(cafile=str(tmp_path / "authority.pem"))
    h2_trust.set_alpn_protocols(["h2"])

    async def main():
        async with live.run_fleet(2, verify=trust, tls=tls_section(tmp_path)) as fleet:
            protocol, body = await get_health_over_http2(fleet, h2_trust)
            assert protocol == "h2"
            assert json.loads(body)["node"] == "n1"
            http = httpx.AsyncClient(verify=trust, trust_env=False)
            async with client.Client([fleet.url()], live.CALLER_KEY, http=http) as caller:
                for number in range(4):
                    program = await caller.program("agent-llm", id=f"p{number}")
                    turn = await program.call([{"role": "user", "content": "photo"}], max_tokens=2)
                    assert turn.text
            result = await anyio.to_thread.run_sync(run_ctl, fleet, tmp_path, "nodes", "list")
            assert result.exit_code == 0, result.output
            assert result.output.count("alive") == 2
            await check_peer_without_certificate(fleet, trust)
            before = await certificate_serial(fleet, trust)
            write_certificate(authority, tmp_path)
            while await certificate_serial(fleet, trust) == before:  # noqa: ASYNC110
                await anyio.sleep(0.05)
            await check_peer_connection(fleet)
            await check_expired_certificate(fleet, authority, tmp_path)

    test_live.run(main)
