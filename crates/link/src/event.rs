//! Splitting of a `text/event-stream` body into its events.

use bytes::{Buf, Bytes, BytesMut};

/// Collects the parts of a body and yields the data of each event.
///
/// # Examples
///
/// ```
/// use tarragonseam_link::event::Splitter;
///
/// let mut splitter = Splitter::default();
/// splitter.push(b"data: {\"a\":");
/// assert_eq!(splitter.next(), None);
/// splitter.push(b"1}\n\n");
/// assert_eq!(splitter.next().as_deref(), Some(&b"{\"a\":1}"[..]));
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

const DATA_PREFIX: &[u8] = b"data:";

impl Splitter {
    /// Adds a part of the body.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// Returns how many bytes are buffered without a line end.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the data of the next complete `data` line, skipping other lines.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
            let mut line = self.buffer.split_to(end).freeze();
            self.buffer.advance(1);
            if line.starts_with(DATA_PREFIX) {
                line.advance(DATA_PREFIX.len());
                return Some(trim(line));
            }
        }
    }
}

fn trim(line: Bytes) -> Bytes {
    let trimmed = line.trim_ascii();
    line.slice_ref(trimmed)
}

/// Encodes `data` as one event.
pub fn encode(data: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(data.len() + 8);
    out.extend_from_slice(b"data: ");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\n\n");
    out.freeze()
}
