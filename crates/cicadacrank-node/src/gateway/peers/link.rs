//! Connections to other gateways.

use super::{KEEPALIVE, MAX_MESSAGE_BYTES};
use crate::sync::lock;
use cicadacrank_wire::wire::gateway_client::GatewayClient;
use std::{sync::Mutex, time::Duration};
use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};

/// Timeout of a connection attempt to another gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a connection that is not used is closed. Each connection costs pings.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections to other gateways, by address.
#[derive(Debug, Default)]
pub struct Links {
    channels: Mutex<Vec<Link>>,
}

#[derive(Debug)]
struct Link {
    address: String,
    channel: Channel,
    used: Instant,
}

impl Links {
    /// Returns a client for the gateway at an address, which connects when it is
    /// first used.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is invalid.
    pub(in crate::gateway) fn client(
        &self,
        address: &str,
    ) -> Result<GatewayClient<Channel>, String> {
        let mut links = lock(&self.channels);
        let found = links.binary_search_by(|link| link.address.as_str().cmp(address));
        let channel = match found {
            Ok(index) => {
                links[index].used = Instant::now();
                links[index].channel.clone()
            }
            Err(index) => {
                let channel = Endpoint::from_shared(format!("http://{address}"))
                    .map_err(|error| error.to_string())?
                    .connect_timeout(CONNECT_TIMEOUT)
                    .tcp_nodelay(true)
                    .http2_keep_alive_interval(KEEPALIVE)
                    .keep_alive_timeout(KEEPALIVE)
                    .keep_alive_while_idle(true)
                    .connect_lazy();
                let link = Link {
                    address: address.to_owned(),
                    channel: channel.clone(),
                    used: Instant::now(),
                };
                links.insert(index, link);
                channel
            }
        };
        Ok(GatewayClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Drops a connection that may no longer respond. The next call reconnects.
    pub(super) fn drop_link(&self, address: &str) {
        lock(&self.channels).retain(|link| link.address != address);
    }

    /// Drops the connections that have not been used lately. Calls under way continue.
    pub(super) fn drop_idle(&self) {
        lock(&self.channels).retain(|link| link.used.elapsed() < IDLE_TIMEOUT);
    }
}
