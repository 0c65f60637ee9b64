//! Frames that only say that the sidecar is there.
//!
//! Work may take long without a word, and a connection may go silent for good;
//! a frame at least once in [`INTERVAL`] lets the entry tell one from the other.

use super::Service;
use cicadacrank_wire::wire::{self, frame::Body};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time};

/// Longest time between two frames of a job.
pub const INTERVAL: Duration = Duration::from_millis(150);

/// Passes the frames of a job on, numbers them and fills the silence between
/// them.
pub(super) async fn run(
    service: Arc<Service>,
    attempt: String,
    endpoint: String,
    mut frames: mpsc::Receiver<wire::Frame>,
    sender: mpsc::Sender<wire::Frame>,
) {
    let mut sequence = 0;
    loop {
        let frame = tokio::select! {
            frame = time::timeout(INTERVAL, frames.recv()) => frame,
            () = sender.closed() => return,
        };
        let frame = match frame {
            Ok(Some(frame)) => wire::Frame { sequence, ..frame },
            Ok(None) => return,
            Err(_) => wire::Frame {
                attempt: attempt.clone(),
                sequence,
                generation: service.generation(),
                load: service.load(&endpoint),
                body: None,
            },
        };
        sequence += 1;
        let is_last = matches!(frame.body, Some(Body::End(_) | Body::Failure(_)));
        if sender.send(frame).await.is_err() || is_last {
            return;
        }
    }
}
