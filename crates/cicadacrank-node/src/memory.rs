//! Bounds of the memory that the bodies of many requests or answers take together.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of a body that is not taken from [`Memory`], in bytes. Most bodies are smaller. The
/// memory set aside for each connection includes it.
pub const FREE_BYTES: usize = 16 << 10;

/// Memory that larger bodies share.
#[derive(Clone, Debug)]
pub struct Memory {
    own: Arc<Semaphore>,
    /// Memory of which this is a part.
    whole: Option<Arc<Semaphore>>,
}

impl Memory {
    /// Creates a bound of so many bytes.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let bytes = bytes.min(Semaphore::MAX_PERMITS);
        Self {
            own: Arc::new(Semaphore::new(bytes)),
            whole: None,
        }
    }

    /// Makes this a part of a larger bound, which it shares with other parts.
    #[must_use]
    pub fn with_whole(mut self, whole: &Self) -> Self {
        self.whole = Some(Arc::clone(&whole.own));
        self
    }

    /// Takes so many bytes from the bound.
    ///
    /// # Errors
    ///
    /// Returns an error if they are not left.
    pub fn take(&self, bytes: usize) -> Result<Permit, Shortage> {
        let bytes = u32::try_from(bytes).map_err(|_| Shortage)?;
        let take = |semaphore: &Arc<Semaphore>| {
            let permit = Arc::clone(semaphore).try_acquire_many_owned(bytes);
            permit.map_err(|_| Shortage)
        };
        Ok(Permit {
            own: take(&self.own)?,
            whole: self.whole.as_ref().map(take).transpose()?,
        })
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
            parts: Vec::new(),
            length: 0,
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

/// Bytes taken from [`Memory`] until this is dropped.
#[derive(Debug)]
pub struct Permit {
    own: OwnedSemaphorePermit,
    whole: Option<OwnedSemaphorePermit>,
}

impl Permit {
    fn bytes(&self) -> usize {
        self.own.num_permits()
    }

    fn merge(&mut self, other: Self) {
        self.own.merge(other.own);
        if let (Some(whole), Some(other)) = (&mut self.whole, other.whole) {
            whole.merge(other);
        }
    }

    /// Gives so many bytes back.
    fn release(&mut self, bytes: usize) {
        // Dropping the part that is split off gives it back.
        drop(self.own.split(bytes));
        drop(self.whole.as_mut().and_then(|whole| whole.split(bytes)));
    }
}

/// A part of [`Memory`], held until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    permit: Option<Permit>,
}

impl Reservation {
    /// Sets the size of what the reservation is for, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if no memory is left for it. The reservation then stays as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Shortage> {
        let held = self.permit.as_ref().map_or(0, Permit::bytes);
        let needed = bytes.saturating_sub(FREE_BYTES);
        if needed <= held {
            if let Some(permit) = &mut self.permit {
                permit.release(held - needed);
            }
            return Ok(());
        }
        let permit = self.memory.take(needed - held)?;
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        Ok(())
    }
}

/// Size of the parts that a growing body is kept in. Equal parts leave no gaps in the memory
/// of the process, as a growing allocation would.
const PART_BYTES: usize = 16 << 10;

/// A growing body with the reservation of its memory.
#[derive(Debug)]
pub struct Buffer {
    /// All but the last are full.
    parts: Vec<Vec<u8>>,
    length: usize,
    reservation: Reservation,
}

/// A complete body with the reservation of its memory.
struct Whole {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl Buffer {
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
            if self.length + part.len() > max_bytes {
                return Err(Fault::TooLarge(max_bytes));
            }
            self.extend(&part)?;
        }
        Ok(self.into_bytes())
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if no memory is left for them. The body then stays as it was.
    pub fn extend(&mut self, mut bytes: &[u8]) -> Result<(), Shortage> {
        let length = self.length + bytes.len();
        self.reservation
            .resize(length.next_multiple_of(PART_BYTES))?;
        self.length = length;
        while !bytes.is_empty() {
            let used = self.parts.last().map_or(PART_BYTES, Vec::len);
            if used == PART_BYTES {
                self.parts.push(Vec::new());
            }
            let Some(last) = self.parts.last_mut() else {
                continue;
            };
            let (now, later) = bytes.split_at(bytes.len().min(PART_BYTES - last.len()));
            let needed = last.len() + now.len();
            if needed > last.capacity() {
                let capacity = (last.capacity() * 2).max(needed).min(PART_BYTES);
                last.reserve_exact(capacity - last.len());
            }
            last.extend_from_slice(now);
            bytes = later;
        }
        Ok(())
    }

    /// Returns the number of bytes so far.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes so far.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the bytes. They hold their memory until the last copy is dropped.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        let bytes = if self.parts.len() > 1 {
            let mut bytes = Vec::with_capacity(self.length);
            for part in self.parts {
                bytes.extend_from_slice(&part);
            }
            bytes
        } else {
            self.parts.pop().unwrap_or_default()
        };
        Bytes::from_owner(Whole {
            bytes,
            _reservation: self.reservation,
        })
    }
}

impl AsRef<[u8]> for Whole {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
