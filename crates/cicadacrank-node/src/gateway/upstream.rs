//! The engine whose events a stream forwards, and the wait for one that is silent.

use super::{
    attempt::{self, Guard, Outgoing, Started},
    crash::RESPONSE_START,
    lifetime,
    state::State,
};
use crate::{
    memory::Reservation,
    outbound::{Exchange, Framing},
};
use bytes::Bytes;
use cicadacrank_core::{event::Event, once::Sent, stream::Splitter};
use http_body_util::BodyExt as _;
use hyper::body::Frame;
use std::{pin::pin, sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// The attempt whose events are forwarded to the caller.
pub struct Upstream {
    /// The response, whose body is forwarded.
    pub exchange: Exchange,
    /// Counts the attempt at its engine.
    pub guard: Guard,
    /// State of the request after it was sent.
    pub sent: Sent,
    /// Time of its first event, since the origin of the clock.
    pub began: Option<Duration>,
    /// Whether the request was cleared of crashing endpoints.
    pub cleared: bool,
}

impl From<Started> for Upstream {
    fn from(started: Started) -> Self {
        Self {
            exchange: started.exchange,
            guard: started.guard,
            sent: started.sent,
            began: None,
            cleared: false,
        }
    }
}

impl Upstream {
    /// Returns whether the stream may end here, outside an event. The engine that resumes
    /// a stream may state that nothing is left.
    pub fn may_end(&self) -> bool {
        self.began.is_some() || self.exchange.framing() != Framing::Connection
    }

    /// Returns whether the engine has not begun to respond, or only just.
    pub fn is_response_start(&self, now: Duration) -> bool {
        self.began.is_none_or(|began| now < began + RESPONSE_START)
    }

    /// Checks whether the process of the engine has ended, after its connection has broken,
    /// and whether the request crashed it, if it had not begun to respond or only just.
    pub fn check_crash(&self, state: &Arc<State>, outgoing: &Outgoing) {
        lifetime::check_end(state, &self.guard.endpoint);
        let now = state.clock.now();
        if self.is_response_start(now) {
            attempt::check_crash(outgoing, &self.guard);
        }
    }
}

/// Appends bytes of a stream and returns the events that are now complete.
///
/// # Errors
///
/// Returns a message if the bytes are not part of the stream, or if no memory is left for
/// an incomplete event.
pub fn push(
    splitter: &mut Splitter,
    memory: &mut Reservation,
    bytes: &[u8],
) -> Result<Bytes, String> {
    let events = splitter.push(bytes).map_err(|fault| fault.to_string())?;
    let reserved = memory.resize(splitter.partial_bytes());
    // Complete events are passed on in any case, since the stream goes on after them.
    if events.is_empty() {
        reserved.map_err(|shortage| shortage.to_string())?;
    }
    Ok(events)
}

/// How an engine that was silent goes on with its stream.
pub enum Progress {
    /// It sent complete events.
    Events(Bytes),
    /// It ended the stream.
    End,
}

/// The engine of a stream for which another one is sought.
pub struct Current<'a> {
    /// State of the gateway.
    pub state: &'a Arc<State>,
    /// Request that the engine runs.
    pub outgoing: &'a Outgoing,
    /// Attempt at the engine.
    pub upstream: &'a mut Upstream,
    /// Splits the events of the stream.
    pub splitter: &'a mut Splitter,
    /// Memory of the incomplete event at the end.
    pub partial_memory: &'a mut Reservation,
    /// Whether the engine may still go on with the stream.
    pub may_continue: bool,
}

impl Current<'_> {
    /// Waits for `work`, and abandons the engine at `until` or when it breaks off.
    ///
    /// # Errors
    ///
    /// Returns how the engine goes on with the stream before `work` is complete.
    pub async fn race<T>(
        &mut self,
        work: impl Future<Output = T>,
        until: Instant,
    ) -> Result<T, Progress> {
        let mut work = pin!(work);
        loop {
            let body = self.upstream.exchange.response.body_mut();
            tokio::select! {
                biased;
                received = body.frame(), if self.may_continue => {
                    if let Some(progress) = self.receive(received) {
                        return Err(progress);
                    }
                }
                output = &mut work => return Ok(output),
                () = time::sleep_until(until), if self.may_continue => self.abandon(),
            }
        }
    }

    /// Takes the next part of the response. Abandons the engine if it broke off.
    fn receive(&mut self, received: Option<hyper::Result<Frame<Bytes>>>) -> Option<Progress> {
        match received {
            Some(Ok(frame)) => {
                match push(self.splitter, self.partial_memory, &frame.into_data().ok()?) {
                    Ok(events) => (!events.is_empty()).then_some(Progress::Events(events)),
                    Err(fault) => {
                        let endpoint = &self.upstream.guard.endpoint.life.id;
                        Event::AttemptFailed.log(format_args!(
                            "id={} endpoint={endpoint} context=\"{fault}\"",
                            self.outgoing.id(),
                        ));
                        self.abandon();
                        None
                    }
                }
            }
            None if self.upstream.may_end() && !self.splitter.has_partial() => Some(Progress::End),
            None | Some(Err(_)) => {
                self.upstream.check_crash(self.state, self.outgoing);
                self.abandon();
                None
            }
        }
    }

    fn abandon(&mut self) {
        self.upstream.exchange.close();
        self.may_continue = false;
    }
}
