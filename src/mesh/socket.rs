//! TCP sockets with dead-peer detection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long sent data may stay unacknowledged before the kernel closes the connection. Bounds the
/// time until a dead connection is detected and replaced.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a connection may be idle before the first keepalive probe; the interval between probes
/// is half of it.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// How many keepalive probes may go unanswered.
const KEEPALIVE_RETRIES: u32 = 2;
/// Length of the accept queue. If it overflows in a burst, clients resend their SYN only after a
/// second, which delays a caller by a second or more.
const BACKLOG: u32 = 1_024;

/// Opens a connection to `address`.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream)?;
    Ok(stream)
}

/// Listens on `address`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Enables dead-peer detection by the kernel, and disables Nagle's algorithm so that small writes
/// are sent at once.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE / 2)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
