//! Heartbeat frames, which show an entry that the sidecar is still there.
//!
//! Work may run for a long time without output, and a connection may fail
//! silently. At least one frame per [`INTERVAL`] lets the entry distinguish the
//! two.

use super::Service;
use cicadacrank_wire::wire::{self, frame::Body};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time};

/// Maximum time between two frames of a job.
pub const INTERVAL: Duration = Duration::from_millis(150);

/// Numbers and forwards the frames of a job, and sends a frame without a body
/// whenever none arrives within [`INTERVAL`].
///
/// Returns after the last frame or when the receiver of the frames is closed.
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
