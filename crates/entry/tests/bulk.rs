//! Files of bulk data: torn writes, damaged contents and a full disk.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use board::key::Digest;
use tarragonseam_entry::bulk::disk::{Disk, Error};
use wire::message::{Chunk, File, Range};

/// A temporary folder, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("tarragonseam-bulk-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).unwrap();
        let name = |entry: fs::DirEntry| entry.file_name().into_string().unwrap();
        entries.map(|entry| name(entry.unwrap())).collect()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that cannot be removed only takes up disk space.
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn file(content: &[u8]) -> File {
    File {
        trainer: "notes".into(),
        lot: 7,
        digest: Digest::of_bytes(content),
    }
}

fn chunk(file: &File, content: &[u8], from: usize, to: usize) -> Chunk {
    Chunk {
        file: file.clone(),
        writer: "vm-1-5".into(),
        offset: from as u64,
        total: content.len() as u64,
        bytes: content[from..to].to_vec(),
    }
}

fn middle_range(file: &File) -> Range {
    Range {
        file: file.clone(),
        offset: 2,
        length: 3,
    }
}

fn run(test: impl AsyncFnOnce()) {
    link::runtime::run(test()).unwrap();
}

const CONTENT: &[u8] = b"0123456789";

#[test]
fn store_in_chunks_then_load() {
    run(async || {
        let folder = Folder::new("pieces");
        let disk = Disk::open(&folder.0).unwrap();
        let file = file(CONTENT);
        disk.store(chunk(&file, CONTENT, 0, 4)).await.unwrap();
        assert!(
            disk.load(middle_range(&file)).await.is_err(),
            "the file is not complete yet"
        );
        disk.store(chunk(&file, CONTENT, 4, 10)).await.unwrap();
        assert_eq!(disk.load(middle_range(&file)).await.unwrap(), b"234");
        assert_eq!(disk.list().await.unwrap(), std::slice::from_ref(&file));
        // Sending a chunk again after a lost reply changes nothing.
        disk.store(chunk(&file, CONTENT, 0, 4)).await.unwrap();
        assert_eq!(disk.load(middle_range(&file)).await.unwrap(), b"234");
        disk.remove(file.clone()).await.unwrap();
        disk.remove(file).await.unwrap();
        assert!(folder.names().is_empty());
    });
}

#[test]
fn store_two_writers_at_once() {
    run(async || {
        let folder = Folder::new("writers");
        let disk = Disk::open(&folder.0).unwrap();
        let file = file(CONTENT);
        let mut other = chunk(&file, CONTENT, 0, 4);
        other.writer = "vm-2-1".into();
        disk.store(chunk(&file, CONTENT, 0, 6)).await.unwrap();
        disk.store(other).await.unwrap();
        disk.store(chunk(&file, CONTENT, 6, 10)).await.unwrap();
        assert_eq!(disk.load(middle_range(&file)).await.unwrap(), b"234");
    });
}

#[test]
fn store_bad_chunks() {
    run(async || {
        let folder = Folder::new("bad");
        let disk = Disk::open(&folder.0).unwrap();
        let file = file(CONTENT);
        disk.store(chunk(&file, CONTENT, 0, 4)).await.unwrap();
        let gap = disk.store(chunk(&file, CONTENT, 6, 10)).await;
        assert!(
            matches!(
                gap,
                Err(Error::Offset {
                    found: 6,
                    expected: 4
                })
            ),
            "{gap:?}"
        );
        let damaged = disk.store(chunk(&file, b"012345678x", 0, 10)).await;
        assert!(matches!(damaged, Err(Error::DigestMismatch)), "{damaged:?}");
        let mut outside = chunk(&file, CONTENT, 0, 10);
        outside.file.trainer = "../notes".into();
        let outside = disk.store(outside).await;
        assert!(matches!(outside, Err(Error::TrainerName)), "{outside:?}");
        assert!(folder.names().is_empty(), "{:?}", folder.names());
    });
}

#[test]
fn open_after_torn_write() {
    run(async || {
        let folder = Folder::new("torn");
        let file = file(CONTENT);
        let disk = Disk::open(&folder.0).unwrap();
        disk.store(chunk(&file, CONTENT, 0, 10)).await.unwrap();
        let mut torn = chunk(&file, CONTENT, 0, 4);
        torn.file.lot = 8;
        disk.store(torn.clone()).await.unwrap();
        drop(disk);
        assert_eq!(folder.names().len(), 2);
        let disk = Disk::open(&folder.0).unwrap();
        assert_eq!(disk.list().await.unwrap(), [file]);
        assert_eq!(folder.names().len(), 1);
        // The writer gets an error, so that it starts again.
        torn.offset = 4;
        assert!(matches!(disk.store(torn).await, Err(Error::Offset { .. })));
    });
}

/// The environment variable with the folder for the child process of
/// [`store_on_full_disk`].
const CHILD_FOLDER_VARIABLE: &str = "TARRAGONSEAM_FULL_DISK";

/// A limit on file sizes simulates a full disk: as there, a write fails after a
/// part of the data was written. The limit needs a process of its own, so the
/// test runs itself again in a child.
#[test]
fn store_on_full_disk() {
    if let Some(folder) = std::env::var_os(CHILD_FOLDER_VARIABLE) {
        return run(async || full_disk(Path::new(&folder)).await);
    }
    let folder = Folder::new("full");
    let test = std::env::current_exe().unwrap();
    let script = format!(
        "trap '' XFSZ; ulimit -f 16; exec {} --exact store_on_full_disk",
        test.display()
    );
    let output = Command::new("sh")
        .args(["-c", &script])
        .env(CHILD_FOLDER_VARIABLE, &folder.0)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    assert_eq!(folder.names().len(), 1, "{:?}", folder.names());
}

async fn full_disk(folder: &Path) {
    let disk = Disk::open(folder).unwrap();
    let stored = file(CONTENT);
    disk.store(chunk(&stored, CONTENT, 0, 10)).await.unwrap();
    let large = vec![7; 64 * 1024];
    let mut rejected = chunk(&file(&large), &large, 0, large.len());
    rejected.file.lot = 8;
    let error = disk.store(rejected).await.unwrap_err();
    assert!(matches!(error, Error::Io(_)), "{error}");
    assert!(error.to_string().starts_with("disk: "), "{error}");
    // The earlier file is still complete, and no incomplete file is left.
    assert_eq!(disk.load(middle_range(&stored)).await.unwrap(), b"234");
    assert_eq!(disk.list().await.unwrap(), [stored]);
}
