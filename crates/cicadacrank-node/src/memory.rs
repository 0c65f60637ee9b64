//! Bounds of the memory that the bodies of many requests or answers take together.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of a body that is not taken from [`Memory`], in bytes. Most bodies are smaller.
const FREE_BYTES: usize = 16 << 10;

/// Memory that larger bodies share.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Semaphore>);

impl Memory {
    /// Creates a bound of so many bytes.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let bytes = bytes.min(Semaphore::MAX_PERMITS);
        Self(Arc::new(Semaphore::new(bytes)))
    }

    /// Returns a reservation of no bytes.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            permit: None,
        }
    }

    /// Returns an empty buffer that takes its memory from this bound.
    #[must_use]
    pub fn buffer(&self) -> Buffer {
        Buffer {
            bytes: Vec::new(),
            reservation: self.reserve(),
        }
    }
}

/// No memory is left for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for the body")]
pub struct Shortage;

/// Reason why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The body is larger than so many bytes.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// No memory is left for the body.
    #[error(transparent)]
    Shortage(#[from] Shortage),
    /// The body is incomplete.
    #[error("{0}")]
    Broken(String),
}

/// A part of [`Memory`], held until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    permit: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// Sets the size of what the reservation is for, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if no memory is left for it.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Shortage> {
        let permit = self.permit.as_ref();
        let held = permit.map_or(0, OwnedSemaphorePermit::num_permits);
        let needed = bytes.saturating_sub(FREE_BYTES);
        if needed <= held {
            // Dropping the part that is split off gives it back.
            let permit = self.permit.as_mut();
            drop(permit.and_then(|permit| permit.split(held - needed)));
            return Ok(());
        }
        let more = u32::try_from(needed - held).map_err(|_| Shortage)?;
        let permit = Arc::clone(&self.memory.0).try_acquire_many_owned(more);
        let permit = permit.map_err(|_| Shortage)?;
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        Ok(())
    }
}

/// A growing body with the reservation of its memory.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl Buffer {
    /// Takes memory for so many bytes in all.
    ///
    /// # Errors
    ///
    /// Returns an error if no memory is left for them.
    pub fn reserve(&mut self, capacity: usize) -> Result<(), Shortage> {
        if capacity > self.bytes.capacity() {
            self.reservation.resize(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        Ok(())
    }

    /// Reads a body of at most `max_bytes` to its end. The bytes hold their memory until the
    /// last copy is dropped.
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is larger or incomplete, or if no memory is left for it.
    pub async fn read<B>(mut self, body: &mut B, max_bytes: usize) -> Result<Bytes, Fault>
    where
        B: Body<Data = Bytes, Error: ToString> + Unpin,
    {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Fault::Broken(error.to_string()))?;
            // Trailers are not part of the body.
            let Ok(part) = frame.into_data() else {
                continue;
            };
            if self.bytes.len() + part.len() > max_bytes {
                return Err(Fault::TooLarge(max_bytes));
            }
            self.extend(&part)?;
        }
        Ok(Bytes::from_owner(self))
    }

    fn extend(&mut self, bytes: &[u8]) -> Result<(), Shortage> {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            self.reserve(needed.max(self.bytes.capacity() * 2))?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
