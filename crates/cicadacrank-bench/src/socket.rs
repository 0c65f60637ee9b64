//! Listeners of the stand-ins.

use salvo::conn::tcp::TcpAcceptor;
use std::{io, net::SocketAddr};
use tokio::net::TcpSocket;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Address on this machine with a port of the system's choice.
pub(crate) const ANY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Binds a listener whose connections send small parts at once, as servers of
/// the field do; the option passes from the listener to its connections.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.try_into()
}
