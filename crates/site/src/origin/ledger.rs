//! Records of producers on a disk.
//!
//! The ledger is a sequence of segments, files that are only appended to. A
//! record is a line with a checksum, and counts as stored once its file is
//! synced. A crash may leave lines that are torn or missing; they are skipped,
//! and no later record is written behind them: each start, and each failed
//! write, begins a new segment. Records are never changed, so a segment that
//! returns after its removal does no harm.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

use board::hash;

use super::{Producer, table::RECORDS_MAX};

/// The number of records in a segment. Older segments are removed once newer ones
/// have as many records as a VM keeps.
const SEGMENT_RECORDS: usize = RECORDS_MAX / 2;
/// The largest segment that is read: what [`SEGMENT_RECORDS`] long records take.
const SEGMENT_BYTES_MAX: u64 = 32 * 1024 * 1024;
/// The extension of segments.
const EXTENSION: &str = "streams";

/// A record: the name of an attempt, and what began its stream.
pub type Entry = (String, Producer);

/// The records on the disk of this VM.
#[derive(Debug)]
pub struct Ledger {
    folder: PathBuf,
    /// The segments that are complete, the oldest first, and their records.
    complete: Vec<(u64, usize)>,
    /// The segment that records are written to, once there is one.
    open: Option<Segment>,
    /// The number of the next segment.
    next: u64,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    file: File,
    records: usize,
}

impl Ledger {
    /// Opens the ledger in `folder`, which is created if it does not exist, and
    /// returns it with the records in it, the oldest first. Segments that cannot
    /// be read are logged and left alone.
    ///
    /// # Errors
    ///
    /// The error of the file system if the folder cannot be read.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_site::origin::{Producer, ledger::Ledger};
    ///
    /// let folder = std::env::temp_dir().join(format!("ledger-{}", std::process::id()));
    /// let producer = Producer { service: "writer".into(), software: "v1".into() };
    /// let (mut ledger, known) = Ledger::open(&folder)?;
    /// assert!(known.is_empty());
    /// ledger.append(&[("a".to_string(), producer.clone())])?;
    /// let (_, known) = Ledger::open(&folder)?;
    /// assert_eq!(known, [("a".to_string(), producer)]);
    /// # std::fs::remove_dir_all(&folder)?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn open(folder: &Path) -> io::Result<(Self, Vec<Entry>)> {
        fs::create_dir_all(folder)?;
        let mut numbers = Vec::new();
        for file in fs::read_dir(folder)? {
            numbers.extend(segment_number(&file?.path()));
        }
        numbers.sort_unstable();
        let mut ledger = Self {
            folder: folder.to_path_buf(),
            complete: Vec::new(),
            open: None,
            next: numbers.last().map_or(0, |last| last + 1),
        };
        let mut entries = Vec::new();
        for number in numbers {
            match read_segment(&ledger.path(number)) {
                Ok(found) => {
                    ledger.complete.push((number, found.len()));
                    entries.extend(found);
                }
                Err(e) => {
                    let problem = e.to_string();
                    spdlog::warn!("records of streams cannot be read", kv: { segment = number, problem });
                }
            }
        }
        ledger.remove_excess();
        Ok((ledger, entries))
    }

    /// Appends `entries`, and returns once they are synced.
    ///
    /// # Errors
    ///
    /// The error of the file system. Some of the entries may be stored.
    pub fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        let mut segment = match self.open.take() {
            Some(segment) => segment,
            None => self.create_segment()?,
        };
        if let Err(e) = segment.write(entries) {
            // The segment may end in a part of a line, so nothing is added to it.
            self.complete.push((segment.number, segment.records));
            self.remove_excess();
            return Err(e);
        }
        if segment.records < SEGMENT_RECORDS {
            self.open = Some(segment);
        } else {
            self.complete.push((segment.number, segment.records));
            self.remove_excess();
        }
        Ok(())
    }

    fn create_segment(&mut self) -> io::Result<Segment> {
        let number = self.next;
        self.next += 1;
        let mut options = OpenOptions::new();
        let file = options
            .append(true)
            .create_new(true)
            .open(self.path(number))?;
        Ok(Segment {
            number,
            file,
            records: 0,
        })
    }

    /// Removes segments without records, and the oldest ones if the others have
    /// as many records as a VM keeps.
    fn remove_excess(&mut self) {
        let mut kept = 0;
        let mut removed = Vec::new();
        for index in (0..self.complete.len()).rev() {
            let (number, records) = self.complete[index];
            if records == 0 || kept >= RECORDS_MAX {
                removed.push(number);
            }
            kept += records;
        }
        self.complete
            .retain(|(number, _)| !removed.contains(number));
        for number in removed {
            if let Err(e) = fs::remove_file(self.path(number)) {
                let problem = e.to_string();
                spdlog::warn!("records of old streams cannot be removed", kv: { segment = number, problem });
            }
        }
    }

    fn path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("{number}.{EXTENSION}"))
    }
}

impl Segment {
    fn write(&mut self, entries: &[Entry]) -> io::Result<()> {
        let lines: String = entries.iter().filter_map(encode).collect();
        self.file.write_all(lines.as_bytes())?;
        self.file.sync_data()?;
        self.records += entries.len();
        Ok(())
    }
}

fn segment_number(path: &Path) -> Option<u64> {
    let is_segment = path.extension().is_some_and(|kind| kind == EXTENSION);
    is_segment.then(|| path.file_stem()?.to_str()?.parse().ok())?
}

fn read_segment(path: &Path) -> io::Result<Vec<Entry>> {
    let length = fs::metadata(path)?.len();
    if length > SEGMENT_BYTES_MAX {
        let detail = format!("the file has {length} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, detail));
    }
    let bytes = fs::read(path)?;
    let lines = bytes.split(|byte| *byte == b'\n');
    Ok(lines.filter_map(decode).collect())
}

/// Returns `entry` as a line: a checksum and the entry as JSON.
fn encode(entry: &Entry) -> Option<String> {
    match serde_json::to_string(entry) {
        Ok(json) => Some(format!("{:016x} {json}\n", checksum(json.as_bytes()))),
        Err(e) => {
            let problem = e.to_string();
            spdlog::error!("record of a stream cannot be encoded", kv: { problem });
            None
        }
    }
}

/// Returns the entry in `line`, or `None` if the line is torn or empty.
fn decode(line: &[u8]) -> Option<Entry> {
    let (sum, json) = line.split_at_checked(16)?;
    let json = json.strip_prefix(b" ")?;
    let sum = u64::from_str_radix(std::str::from_utf8(sum).ok()?, 16).ok()?;
    (sum == checksum(json)).then(|| serde_json::from_slice(json).ok())?
}

fn checksum(bytes: &[u8]) -> u64 {
    hash::hash_bytes(bytes, 0)
}
