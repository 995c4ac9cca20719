//! TCP sockets that notice a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long sent bytes may stay unacknowledged. A connection that has fallen silent is noticed after
/// this time; new ones may work.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_000);
/// How long a connection may be idle before it is probed, and the pause between probes.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// How many probes may go unanswered.
const PROBES_MAX: u32 = 2;
/// How many new connections may wait to be accepted: at a burst a queue that overflows costs a caller
/// a second or more, as the opening packet is sent again only then.
const BACKLOG: u32 = 1_024;

/// Connects to `address`.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    watch(&stream)?;
    Ok(stream)
}

/// Listens on `address`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Lets the kernel end a connection whose peer has fallen silent, and send small writes at once.
pub fn watch(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER / 2)
        .with_retries(PROBES_MAX);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
