//! Listeners of the simulated services.

use salvo::conn::tcp::TcpAcceptor;
use std::{io, net::SocketAddr};
use tokio::net::TcpSocket;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Loopback address with a port that the operating system chooses.
pub(crate) const ANY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Binds a listener with `TCP_NODELAY`, so that small writes are sent without
/// delay, as common servers do. Accepted connections inherit the option.
///
/// # Errors
///
/// Returns an error if the socket cannot be set up or bound.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.try_into()
}
