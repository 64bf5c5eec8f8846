//! The folder for bulk data on a VM that has a disk.
//!
//! A file is written under a temporary name, checked against its digest, synced
//! and renamed, and the folder is synced; only then is it acknowledged. A crash
//! leaves either the complete file or a temporary one, which the next start
//! removes. Calls to the file system run on a separate thread, so that a slow
//! sync does not stall streams.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use board::key::Digest;
use link::worker::{Stopped, Worker};
use wire::message::{self, Chunk, Range};

/// Why an operation on the disk failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The folder cannot be used.
    #[error("cannot use {folder} as the folder for bulk data: {source}")]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The file system failed, for example because it is full.
    #[error("disk: {0}")]
    Io(#[from] io::Error),
    /// A chunk did not start at the end of the file.
    #[error("the chunk starts at byte {found}, but the file has {expected} bytes")]
    Offset {
        /// The offset of the chunk.
        found: u64,
        /// The length of the file so far.
        expected: u64,
    },
    /// The content does not match the digest in the file's name.
    #[error("the content does not match the digest in the file's name")]
    DigestMismatch,
    /// The name of the trainer cannot be part of a file name.
    #[error("the name of the trainer cannot be part of a file name")]
    TrainerName,
    /// The thread for file operations has ended.
    #[error(transparent)]
    Stopped(#[from] Stopped),
}

/// A folder, and the thread that runs operations on it.
#[derive(Debug)]
pub struct Disk(Worker<PathBuf>);

const TEMPORARY_EXTENSION: &str = "tmp";

impl Disk {
    /// Opens `folder`, creates it if it does not exist, and removes incomplete
    /// files that a crash left.
    ///
    /// # Errors
    ///
    /// [`Error::Folder`] when the folder cannot be used.
    pub fn open(folder: &Path) -> Result<Self, Error> {
        prepare(folder).map_err(|source| Error::Folder {
            folder: folder.to_owned(),
            source,
        })?;
        Ok(Self(Worker::start(folder.to_owned())))
    }

    /// Stores a chunk of a file. After the last chunk the file is durable.
    ///
    /// # Errors
    ///
    /// An [`Error`], after which the incomplete file is removed and may be sent
    /// again from its start.
    pub async fn store(&self, chunk: Chunk) -> Result<(), Error> {
        self.run(move |folder| store(folder, &chunk)).await
    }

    /// Reads a range of a file.
    ///
    /// # Errors
    ///
    /// An [`Error`] when the file cannot be read.
    pub async fn load(&self, range: Range) -> Result<Vec<u8>, Error> {
        self.run(move |folder| load(folder, &range)).await
    }

    /// Returns the files of the folder.
    ///
    /// # Errors
    ///
    /// An [`Error`] when the folder cannot be read.
    pub async fn list(&self) -> Result<Vec<message::File>, Error> {
        self.run(list).await
    }

    /// Returns the files of one lot, with their lengths in bytes.
    ///
    /// # Errors
    ///
    /// An [`Error`] when the folder cannot be read.
    pub async fn find(
        &self,
        trainer: String,
        lot: u64,
    ) -> Result<Vec<(message::File, u64)>, Error> {
        self.run(move |folder| find(folder, &trainer, lot)).await
    }

    /// Removes a file, if it exists.
    ///
    /// # Errors
    ///
    /// An [`Error`] when the file cannot be removed.
    pub async fn remove(&self, file: message::File) -> Result<(), Error> {
        let operation = move |folder: &Path| match fs::remove_file(path(folder, &file)?) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e.into()),
            _ => Ok(()),
        };
        self.run(operation).await
    }

    async fn run<T: Send + 'static>(
        &self,
        operation: impl FnOnce(&Path) -> Result<T, Error> + Send + 'static,
    ) -> Result<T, Error> {
        self.0.run(move |folder| operation(folder)).await?
    }
}

fn prepare(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|kind| kind == TEMPORARY_EXTENSION)
        {
            fs::remove_file(path)?;
        }
    }
    Ok(())
}

fn path(folder: &Path, file: &message::File) -> Result<PathBuf, Error> {
    let message::File {
        trainer,
        lot,
        digest,
    } = file;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    if trainer.is_empty() || !trainer.chars().all(is_allowed) {
        return Err(Error::TrainerName);
    }
    Ok(folder.join(format!("{trainer}.{lot}.{digest}")))
}

fn parse(name: &str) -> Option<message::File> {
    let mut parts = name.split('.');
    let file = message::File {
        trainer: parts.next()?.to_string(),
        lot: parts.next()?.parse().ok()?,
        digest: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(file)
}

fn list(folder: &Path) -> Result<Vec<message::File>, Error> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        files.extend(entry?.file_name().to_str().and_then(parse));
    }
    Ok(files)
}

fn find(folder: &Path, trainer: &str, lot: u64) -> Result<Vec<(message::File, u64)>, Error> {
    let mut found = Vec::new();
    for file in list(folder)? {
        if file.trainer == trainer && file.lot == lot {
            let bytes = fs::metadata(path(folder, &file)?)?.len();
            found.push((file, bytes));
        }
    }
    Ok(found)
}

fn store(folder: &Path, chunk: &Chunk) -> Result<(), Error> {
    let target = path(folder, &chunk.file)?;
    if target.exists() {
        return Ok(());
    }
    let writer = board::hash::hash_value(&chunk.writer);
    let temporary = PathBuf::from(format!(
        "{}.{writer:x}.{TEMPORARY_EXTENSION}",
        target.display()
    ));
    let result = append(&temporary, chunk).and_then(|is_complete| match is_complete {
        true => finish(folder, &temporary, &target, &chunk.file.digest),
        false => Ok(()),
    });
    if result.is_err() {
        // This frees space on a full disk. The first error is returned, even
        // if the removal fails too.
        let _ = fs::remove_file(&temporary);
    }
    result
}

fn append(temporary: &Path, chunk: &Chunk) -> Result<bool, Error> {
    let mut options = OpenOptions::new();
    options.write(true).create(true);
    let mut file = match chunk.offset {
        0 => options.truncate(true).open(temporary)?,
        _ => options.truncate(false).open(temporary)?,
    };
    let expected = file.metadata()?.len();
    if expected != chunk.offset {
        let found = chunk.offset;
        return Err(Error::Offset { found, expected });
    }
    file.seek(SeekFrom::Start(chunk.offset))?;
    file.write_all(&chunk.bytes)?;
    Ok(chunk.offset + chunk.bytes.len() as u64 >= chunk.total)
}

fn finish(folder: &Path, temporary: &Path, target: &Path, digest: &Digest) -> Result<(), Error> {
    let content = fs::read(temporary)?;
    if Digest::of_bytes(&content) != *digest {
        return Err(Error::DigestMismatch);
    }
    File::open(temporary)?.sync_all()?;
    fs::rename(temporary, target)?;
    File::open(folder)?.sync_all()?;
    Ok(())
}

fn load(folder: &Path, range: &Range) -> Result<Vec<u8>, Error> {
    let mut file = File::open(path(folder, &range.file)?)?;
    file.seek(SeekFrom::Start(range.offset))?;
    let mut bytes = Vec::new();
    file.take(u64::from(range.length)).read_to_end(&mut bytes)?;
    Ok(bytes)
}
