//! The folder for bulk data, with a file of any name and content that a crash or
//! another program may have left there, and with chunks and ranges of files that
//! peers write and read.

#![no_main]

use std::{fs, path::Path};

use board::key::Digest;
use entry::bulk::disk::Disk;
use libfuzzer_sys::fuzz_target;
use wire::message::{Chunk, File, Range};

fn write_stray_file(folder: &Path, name: &[u8], content: &[u8]) {
    let name = String::from_utf8_lossy(name).replace(['/', '\0'], "-");
    // A name that the file system rejects cannot be in the folder.
    let _ = fs::write(folder.join(name), content);
}

async fn exercise(folder: &Path, trainer: String, content: &[u8], offset: u64) {
    let disk = Disk::open(folder).expect("the folder should open");
    let file = File {
        trainer,
        lot: offset,
        digest: Digest::of_bytes(content),
    };
    let total = content.len() as u64;
    let chunk = Chunk {
        file: file.clone(),
        writer: "w".to_string(),
        offset: offset % 3,
        total,
        bytes: content.to_vec(),
    };
    let stored = disk.store(chunk).await;
    let range = Range {
        file: file.clone(),
        offset: 0,
        length: u32::MAX,
    };
    let loaded = disk.load(range).await;
    if stored.is_ok() && offset.is_multiple_of(3) && total > 0 {
        assert_eq!(loaded.expect("stored content should load"), content);
    }
    for file in disk.list().await.expect("the folder should be readable") {
        let range = Range {
            file: file.clone(),
            offset,
            length: 16,
        };
        let _ = disk.load(range).await;
        let _ = disk.remove(file).await;
    }
}

fuzz_target!(|bytes: &[u8]| {
    let [split, offset, rest @ ..] = bytes else {
        return;
    };
    let (name, content) = rest.split_at(rest.len().min(usize::from(*split)));
    let folder = std::env::temp_dir().join(format!("tarragonseam-fuzz-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder should be created");
    write_stray_file(&folder, name, content);
    let trainer = String::from_utf8_lossy(name).into_owned();
    link::runtime::run(exercise(&folder, trainer, content, u64::from(*offset)))
        .expect("the runtime should start");
    fs::remove_dir_all(&folder).expect("the folder should be removed");
});
