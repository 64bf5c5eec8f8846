//! Incremental decoding of bodies, with a length or in chunks.
//!
//! The decoder of `monoio-http` returns each chunk as an object of its own and
//! only once it is complete, so the cost of a body depends on its chunks.

use bytes::{Buf, Bytes, BytesMut};
use monoio_codec::{Decoded, Decoder};

use super::{
    framing::Framing,
    store::{NoRoom, Store},
};

/// How many bytes of chunk extensions and trailers a body may have. They are
/// discarded.
const EXTRA_BYTES_MAX: usize = 16 * 1024;
/// The longest line of framing that is held while it arrives in parts.
const LINE_BYTES_MAX: usize = 4 * 1024;
/// The length of a chunk's size line without an extension: 16 digits and the end
/// of the line.
const SIZE_LINE_BYTES: usize = 18;

/// Why a body cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("malformed chunk")]
    Malformed,
    #[error("chunk extensions or trailers exceed the size limit")]
    TooMuchFraming,
    #[error("the body exceeds the size limit")]
    TooLarge,
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// What the start of the input is.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Piece<'a> {
    /// Bytes of the body.
    Data(&'a [u8]),
    /// The body is complete.
    End,
    /// Nothing but framing was in the input, all of which was consumed.
    More,
}

/// The position in a body.
#[derive(Clone, Debug)]
pub(crate) enum BodyDecoder {
    /// This many bytes follow.
    Length(u64),
    Chunked(Chunked),
}

impl BodyDecoder {
    pub(crate) fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(length) => Self::Length(length as u64),
            Framing::Chunked => Self::Chunked(Chunked::default()),
            Framing::Empty | Framing::UntilClose => Self::Length(0),
        }
    }

    /// Decodes the start of `input`, and returns how many bytes were consumed.
    pub(crate) fn decode<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Piece<'a>), BodyError> {
        match self {
            Self::Length(0) => Ok((0, Piece::End)),
            Self::Length(remaining) => Ok(take(remaining, input)),
            Self::Chunked(chunked) => chunked.decode(input),
        }
    }

    /// Returns how many more bytes the body has at least.
    fn announced(&self) -> usize {
        let announced = match self {
            Self::Length(remaining) => *remaining,
            Self::Chunked(Chunked {
                state: State::Data(remaining),
                ..
            }) => *remaining,
            Self::Chunked(_) => 0,
        };
        usize::try_from(announced).unwrap_or(usize::MAX)
    }

    /// Returns whether the body is complete.
    pub(crate) fn is_done(&self) -> bool {
        match self {
            Self::Length(remaining) => *remaining == 0,
            Self::Chunked(chunked) => chunked.state == State::Done,
        }
    }
}

/// Takes up to `remaining` bytes from the start of `input`.
fn take<'a>(remaining: &mut u64, input: &'a [u8]) -> (usize, Piece<'a>) {
    let count = input
        .len()
        .min(usize::try_from(*remaining).unwrap_or(usize::MAX));
    if count == 0 {
        return (0, Piece::More);
    }
    *remaining -= count as u64;
    (count, Piece::Data(&input[..count]))
}

/// The position in a chunked body.
#[derive(Clone, Debug, Default)]
pub(crate) struct Chunked {
    state: State,
    /// The start of a line that has not arrived completely.
    line: Vec<u8>,
    extra_bytes: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Before the size of a chunk.
    #[default]
    Size,
    /// Within the data of a chunk, of which this many bytes follow.
    Data(u64),
    /// Before the end of the line after the data.
    DataEnd,
    /// Before a line of the trailers.
    Trailer,
    Done,
}

impl Chunked {
    fn decode<'a>(&mut self, input: &'a [u8]) -> Result<(usize, Piece<'a>), BodyError> {
        let mut position = 0;
        loop {
            let rest = &input[position..];
            match &mut self.state {
                State::Done => return Ok((position, Piece::End)),
                State::Data(0) => self.state = State::DataEnd,
                State::Data(remaining) => {
                    let (count, piece) = take(remaining, rest);
                    return Ok((position + count, piece));
                }
                State::Size | State::DataEnd | State::Trailer => {
                    let (count, is_complete) = self.read_line(rest)?;
                    position += count;
                    if !is_complete {
                        return Ok((position, Piece::More));
                    }
                }
            }
        }
    }

    /// Reads a line from the start of `input`. Returns how many bytes were
    /// consumed, and whether the line is complete.
    fn read_line(&mut self, input: &[u8]) -> Result<(usize, bool), BodyError> {
        let end = input.iter().position(|byte| *byte == b'\n');
        let count = end.map_or(input.len(), |end| end + 1);
        if self.line.len() + count > LINE_BYTES_MAX {
            return Err(BodyError::TooMuchFraming);
        }
        if end.is_some() && self.line.is_empty() {
            self.end_line(&input[..count])?;
            return Ok((count, true));
        }
        self.line.extend_from_slice(&input[..count]);
        if self.state == State::DataEnd && !b"\r\n".starts_with(&self.line) {
            return Err(BodyError::Malformed);
        }
        if end.is_none() {
            return Ok((count, false));
        }
        let line = std::mem::take(&mut self.line);
        self.end_line(&line)?;
        Ok((count, true))
    }

    /// Handles a complete line, with its end.
    fn end_line(&mut self, line: &[u8]) -> Result<(), BodyError> {
        let text = line.strip_suffix(b"\r\n").ok_or(BodyError::Malformed)?;
        // Other servers may take a single carriage return for the end of a line.
        if text.contains(&b'\r') {
            return Err(BodyError::Malformed);
        }
        self.state = match self.state {
            State::Size => {
                self.add_extra(line.len().saturating_sub(SIZE_LINE_BYTES))?;
                match chunk_size(line)? {
                    0 => State::Trailer,
                    size => State::Data(size),
                }
            }
            State::DataEnd if text.is_empty() => State::Size,
            State::Trailer if text.is_empty() => State::Done,
            State::Trailer => {
                self.add_extra(line.len())?;
                if text.iter().position(|byte| *byte == b':').unwrap_or(0) == 0 {
                    return Err(BodyError::Malformed);
                }
                State::Trailer
            }
            State::DataEnd | State::Data(_) | State::Done => return Err(BodyError::Malformed),
        };
        Ok(())
    }

    fn add_extra(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.extra_bytes += bytes;
        match self.extra_bytes > EXTRA_BYTES_MAX {
            true => Err(BodyError::TooMuchFraming),
            false => Ok(()),
        }
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    // `httparse` takes a line without a digit for the size 0.
    if !line.first().is_some_and(u8::is_ascii_hexdigit) {
        return Err(BodyError::Malformed);
    }
    match httparse::parse_chunk_size(line) {
        // A larger one overflows the counters of other servers.
        Ok(httparse::Status::Complete((count, size)))
            if count == line.len() && i64::try_from(size).is_ok() =>
        {
            Ok(size)
        }
        _ => Err(BodyError::Malformed),
    }
}

/// The result of reading a part of a body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    Done,
    /// The budget has no room for what has arrived.
    NoRoom,
}

/// Reads a body into a [`Store`], as a codec of the connection's reader.
pub(crate) struct Collector<'a> {
    decoder: &'a mut BodyDecoder,
    store: &'a mut Store,
    max_bytes: usize,
}

impl<'a> Collector<'a> {
    pub(crate) fn new(
        decoder: &'a mut BodyDecoder,
        store: &'a mut Store,
        max_bytes: usize,
    ) -> Self {
        Self {
            decoder,
            store,
            max_bytes,
        }
    }
}

impl Decoder for Collector<'_> {
    type Item = Progress;
    type Error = BodyError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Progress>, BodyError> {
        // Room is made first, so that decoding can continue here after a wait.
        let data_max = match self.decoder {
            BodyDecoder::Length(remaining) => (*remaining).min(src.len() as u64) as usize,
            BodyDecoder::Chunked(_) => src.len(),
        };
        if self.store.reserve(data_max) == Err(NoRoom) {
            return Ok(Decoded::Some(Progress::NoRoom));
        }
        let (decoder, store) = (&mut *self.decoder, &mut *self.store);
        let is_done = decode_all(decoder, src, |data| {
            if store.len() + data.len() > self.max_bytes {
                return Err(BodyError::TooLarge);
            }
            store.extend(data).map_err(|NoRoom| BodyError::TooLarge)
        })?;
        if self.store.len().saturating_add(self.decoder.announced()) > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        Ok(match is_done {
            true => Decoded::Some(Progress::Done),
            false => Decoded::Insufficient,
        })
    }
}

/// Consumes `src` up to the end of the body, and returns whether that was
/// reached.
fn decode_all(
    decoder: &mut BodyDecoder,
    src: &mut BytesMut,
    mut on_data: impl FnMut(&[u8]) -> Result<(), BodyError>,
) -> Result<bool, BodyError> {
    let mut position = 0;
    let is_done = loop {
        let (consumed, piece) = decoder.decode(&src[position..])?;
        position += consumed;
        match piece {
            Piece::Data(data) => on_data(data)?,
            Piece::More => break false,
            Piece::End => break true,
        }
    };
    src.advance(position);
    Ok(is_done)
}

/// Returns what has arrived of a body, as a codec of the connection's reader.
pub(crate) struct Parts<'a>(pub(crate) &'a mut BodyDecoder);

impl Decoder for Parts<'_> {
    /// The bytes, and none if the body is complete without more.
    type Item = Option<Bytes>;
    type Error = BodyError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Option<Bytes>>, BodyError> {
        let mut part = Vec::new();
        let is_done = decode_all(self.0, src, |data| {
            part.extend_from_slice(data);
            Ok(())
        })?;
        Ok(match (part.is_empty(), is_done) {
            (false, _) => Decoded::Some(Some(part.into())),
            (true, true) => Decoded::Some(None),
            (true, false) => Decoded::Insufficient,
        })
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::{super::memory::Memory, *};

    /// How much memory a body may cost beyond twice its bytes: the smallest piece,
    /// or one step of a large one. Framing that was read costs nothing.
    const OVERHEAD_BYTES: usize = 64 * 1024 + 16 * 1024;

    /// What became of a body: its bytes and those that follow it, or an error.
    type Outcome = Result<Option<(Vec<u8>, Vec<u8>)>, ()>;

    /// Decodes `input`, which arrives in parts of the sizes `sizes`, as often as
    /// necessary. Checks what is held after each part.
    fn decode(framing: Framing, input: &[u8], sizes: &[usize], max_bytes: usize) -> Outcome {
        let memory = Memory::default();
        let mut store = Store::new(memory.charge_answer());
        let mut decoder = BodyDecoder::new(framing);
        let mut src = BytesMut::new();
        let mut rest = input;
        let mut sizes = sizes.iter().copied().cycle();
        while !rest.is_empty() {
            let size = sizes.next().unwrap_or(1).clamp(1, rest.len());
            let (part, next) = rest.split_at(size);
            rest = next;
            src.extend_from_slice(part);
            let decoded = Collector::new(&mut decoder, &mut store, max_bytes).decode(&mut src);
            let held = memory.used_bytes() + src.len();
            let received = input.len() - rest.len();
            assert!(held <= 2 * store.len().max(part.len()) + OVERHEAD_BYTES);
            assert!(store.len() <= received.min(max_bytes));
            match decoded {
                Ok(Decoded::Some(Progress::Done)) => {
                    src.extend_from_slice(rest);
                    let body = store.into_bytes().unwrap();
                    return Ok(Some((body.to_vec(), src.to_vec())));
                }
                Ok(Decoded::Insufficient) => assert!(src.is_empty()),
                Ok(other) => panic!("unexpected {:?}", matches!(other, Decoded::Some(_))),
                Err(_) => return Err(()),
            }
        }
        Ok(None)
    }

    /// Returns `body` in chunks of the sizes `sizes`, with `extension` after each
    /// size and `trailers` at the end.
    fn encode(body: &[u8], sizes: &[usize], extension: &str, trailers: &str) -> Vec<u8> {
        let mut out = Vec::new();
        let mut rest = body;
        let mut sizes = sizes.iter().copied().cycle();
        while !rest.is_empty() {
            let size = sizes.next().unwrap_or(1).clamp(1, rest.len());
            out.extend_from_slice(format!("{size:X}{extension}\r\n").as_bytes());
            out.extend_from_slice(&rest[..size]);
            out.extend_from_slice(b"\r\n");
            rest = &rest[size..];
        }
        out.extend_from_slice(format!("0{extension}\r\n{trailers}\r\n").as_bytes());
        out
    }

    fn sizes() -> impl Strategy<Value = Vec<usize>> {
        prop_oneof![
            prop::collection::vec(1..4_usize, 1..8),
            prop::collection::vec(1..20_000_usize, 1..8),
        ]
    }

    proptest! {
        /// Guards against a body whose cost or content depends on its chunks, or
        /// on how its bytes arrive.
        #[test]
        fn decode_chunks_in_any_split(
            body in prop::collection::vec(any::<u8>(), 0..40_000),
            chunks in sizes(),
            reads in sizes(),
            extension in prop_oneof![Just(""), Just(";a=b"), Just(" ; c")],
            trailers in prop_oneof![Just(""), Just("x-t: v\r\n"), Just("a: b\r\nc:\r\n")],
        ) {
            // An extension of each one-byte chunk would exceed the limit.
            let chunks = match extension.is_empty() {
                true => chunks,
                false => chunks.into_iter().map(|size| size + 100).collect(),
            };
            let mut input = encode(&body, &chunks, extension, trailers);
            input.extend_from_slice(b"GET / HTTP/1.1");
            let outcome = decode(Framing::Chunked, &input, &reads, body.len());
            prop_assert_eq!(outcome, Ok(Some((body, b"GET / HTTP/1.1".to_vec()))));
        }

        #[test]
        fn decode_length_in_any_split(
            body in prop::collection::vec(any::<u8>(), 1..200_000),
            reads in sizes(),
        ) {
            let mut input = body.clone();
            input.extend_from_slice(b"GET");
            let outcome = decode(Framing::Length(body.len()), &input, &reads, body.len());
            prop_assert_eq!(outcome, Ok(Some((body, b"GET".to_vec()))));
        }

        /// Guards against panics, and against bytes that mean something else when
        /// they are split, which would let a request hide in a body.
        #[test]
        fn decode_any_bytes_alike_in_any_split(
            input in prop::collection::vec(
                prop_oneof![
                    Just(b'\r'), Just(b'\n'), Just(b'0'), Just(b'1'), Just(b';'), Just(b':'),
                    Just(b' '), Just(b'f'), any::<u8>(),
                ],
                0..200,
            ),
            reads in sizes(),
        ) {
            let whole = decode(Framing::Chunked, &input, &[usize::MAX], 1000);
            let split = decode(Framing::Chunked, &input, &reads, 1000);
            prop_assert_eq!(whole, split);
        }
    }

    /// Guards against framing that other servers read differently.
    #[test]
    fn reject_ambiguous_chunks() {
        for input in [
            "1\nx\r\n0\r\n\r\n",
            "1\r\nx\n0\r\n\r\n",
            "1\r\nxx\r\n0\r\n\r\n",
            "\r\n",
            ";a\r\n\r\n",
            "-1\r\n",
            "+1\r\nx\r\n",
            "0x1\r\nx\r\n",
            " 1\r\nx\r\n",
            "1;a\nx\r\n0\r\n\r\n",
            "1;a\rb\r\nx\r\n0\r\n\r\n",
            "10000000000000001\r\nx",
            "ffffffffffffffff\r\nx",
            "0\r\nno colon\r\n\r\n",
            "0\r\n: no name\r\n\r\n",
            "0\r\na: b\n\r\n",
        ] {
            let outcome = decode(Framing::Chunked, input.as_bytes(), &[1], 1000);
            assert_eq!(outcome, Err(()), "{input:?}");
        }
    }

    #[test]
    fn reject_extensions_and_trailers_over_limit() {
        let trailers = "a: b\r\n".repeat(EXTRA_BYTES_MAX / 6 + 1);
        let extension = format!(";{}", "x".repeat(LINE_BYTES_MAX));
        let many = encode(
            &[1; 2000],
            &[1],
            ";0123456789abcdefghijklmnopqrstuvwxyz",
            "",
        );
        for input in [
            encode(b"x", &[1], "", &trailers),
            encode(b"x", &[1], &extension, ""),
            many,
        ] {
            assert_eq!(decode(Framing::Chunked, &input, &[1000], 5000), Err(()));
        }
    }

    #[test]
    fn reject_body_over_limit() {
        let input = encode(&[1; 1001], &[7], "", "");
        assert_eq!(decode(Framing::Chunked, &input, &[100], 1000), Err(()));
        // A chunk is refused before its data arrive.
        assert_eq!(decode(Framing::Chunked, b"3e9\r\n", &[100], 1000), Err(()));
    }

    /// Guards against bytes that are lost when a body waits for memory.
    #[test]
    fn continue_after_wait_for_memory() {
        let memory = Memory::new(0, 3000);
        let mut other = memory.charge_answer();
        assert!(other.try_grow_to(2900));
        let mut store = Store::new(memory.charge_answer());
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let body: Vec<u8> = (0..=255).cycle().take(900).collect();
        let mut src = BytesMut::from(&encode(&body, &[13], "", "")[..]);
        let progress = Collector::new(&mut decoder, &mut store, 1000).decode(&mut src);
        assert!(matches!(progress, Ok(Decoded::Some(Progress::NoRoom))));
        drop(other);
        let progress = Collector::new(&mut decoder, &mut store, 1000).decode(&mut src);
        assert!(matches!(progress, Ok(Decoded::Some(Progress::Done))));
        assert_eq!(store.into_bytes().unwrap(), body);
    }
}
