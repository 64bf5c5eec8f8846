//! Bulk data: the contents of lots on the disks of VMs.
//!
//! The content of a lot is stored on two disks in two failure domains before
//! the lot is sealed. Files are named by the digest of their content, which
//! every reader verifies, so that a damaged copy is detected and the other one
//! read.

pub mod disk;

use std::{cmp::Reverse, net::SocketAddr, rc::Rc, time::Duration};

use board::{hash, key::Digest, member};
use link::{Bytes, peer};
use wire::{
    Request, Response,
    message::{Chunk, File, Range},
};

use crate::{rollout, vm::Vm};

/// The size of the chunks in which files are sent, and of the ranges in which
/// they are requested.
const CHUNK_BYTES: usize = 1024 * 1024;
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);
const DISK_QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest range that a peer may request.
const RANGE_BYTES_MAX: u32 = 2 * 1024 * 1024;

/// The number of copies of each file, each in another failure domain.
const COPY_COUNT: usize = 2;

/// Stores a chunk that a peer sent.
pub(crate) async fn store(vm: &Rc<Vm>, chunk: Chunk) -> Response {
    let Some(disk) = &vm.disk else {
        return Response::Rejected("this VM has no disk for bulk data".to_string());
    };
    match disk.store(chunk).await {
        Ok(()) => Response::ChunkWritten,
        Err(e) => {
            let error = e.to_string();
            vm.metrics.record_bulk("store-failed");
            spdlog::error!("cannot store bulk data", kv: { error = error.as_str() });
            Response::Rejected(error)
        }
    }
}

/// Reads a range of a file for a peer.
pub(crate) async fn load(vm: &Rc<Vm>, mut range: Range) -> Response {
    let Some(disk) = &vm.disk else {
        return Response::Rejected("this VM has no disk for bulk data".to_string());
    };
    range.length = range.length.min(RANGE_BYTES_MAX);
    match disk.load(range).await {
        Ok(bytes) => Response::Range(bytes),
        Err(e) => Response::Rejected(e.to_string()),
    }
}

/// Answers a peer with the files of a lot on this VM's disk.
pub(crate) async fn list_files(vm: &Rc<Vm>, trainer: String, lot: u64) -> Response {
    let Some(disk) = &vm.disk else {
        return Response::Rejected("this VM has no disk for bulk data".to_string());
    };
    match disk.find(trainer, lot).await {
        Ok(found) => Response::FilesFound(found),
        Err(e) => Response::Rejected(e.to_string()),
    }
}

/// Returns the content of a lot whose manifest is not known, from any disk with
/// an undamaged file of the lot.
pub(crate) async fn find_content(vm: &Rc<Vm>, trainer: &str, lot: u64) -> Option<Bytes> {
    for other in disks(vm).await {
        let request = Request::FindFiles(trainer.to_string(), lot);
        let answer = peer::request(other.address, &request, DISK_QUERY_TIMEOUT).await;
        let Ok(Response::FilesFound(files)) = answer else {
            continue;
        };
        for (file, bytes) in files {
            let content = download(other.address, &file, bytes).await;
            if let Some(content) = content
                && Digest::of_bytes(&content) == file.digest
            {
                return Some(content.into());
            }
        }
    }
    None
}

/// Stores `content` on [`COPY_COUNT`] disks in different failure domains, and
/// returns the names of their VMs, or `None` when too few disks accept it.
pub(crate) async fn replicate(vm: &Rc<Vm>, file: &File, content: &[u8]) -> Option<Vec<String>> {
    let mut holders: Vec<member::Record> = Vec::new();
    for candidate in candidates(vm, file).await {
        let is_new_domain =
            |known: &member::Record| known.failure_domain != candidate.failure_domain;
        if !holders.iter().all(is_new_domain) {
            continue;
        }
        if upload(vm, candidate.address, file, content).await {
            holders.push(candidate);
        }
        if holders.len() == COPY_COUNT {
            return Some(holders.into_iter().map(|vm| vm.vm).collect());
        }
    }
    None
}

/// Returns the VMs with a disk, in the order of their rendezvous hashes for
/// `file`.
async fn candidates(vm: &Rc<Vm>, file: &File) -> Vec<member::Record> {
    let mut found = disks(vm).await;
    let key = hash::hash_value(&file.digest);
    found.sort_by_key(|other| Reverse(hash::rendezvous(key, &other.vm)));
    found
}

/// Returns the live VMs with a disk.
async fn disks(vm: &Rc<Vm>) -> Vec<member::Record> {
    let mut found = Vec::new();
    for other in rollout::live_vms(vm) {
        if has_disk(vm, &other).await {
            found.push(other);
        }
    }
    found
}

async fn has_disk(vm: &Rc<Vm>, other: &member::Record) -> bool {
    if let Some(known) = vm.rollouts.disks.borrow().get(&other.vm) {
        return *known;
    }
    let answer = peer::request(other.address, &Request::HasDisk, DISK_QUERY_TIMEOUT).await;
    // After a call without an answer nothing is cached, because the VM may
    // answer later.
    let Ok(Response::HasDisk(has_disk)) = answer else {
        return false;
    };
    let mut disks = vm.rollouts.disks.borrow_mut();
    disks.insert(other.vm.clone(), has_disk);
    has_disk
}

async fn upload(vm: &Rc<Vm>, to: SocketAddr, file: &File, content: &[u8]) -> bool {
    let writer = vm.request_id();
    let mut offset = 0;
    for bytes in content.chunks(CHUNK_BYTES) {
        let chunk = Chunk {
            file: file.clone(),
            writer: writer.clone(),
            offset,
            total: content.len() as u64,
            bytes: bytes.to_vec(),
        };
        offset += bytes.len() as u64;
        let answer = peer::request(to, &Request::WriteChunk(chunk), CHUNK_TIMEOUT).await;
        if !matches!(answer, Ok(Response::ChunkWritten)) {
            vm.metrics.record_bulk("copy-failed");
            return false;
        }
    }
    vm.metrics.record_bulk("copied");
    true
}

/// Reads a file from the first of the VMs `holders` whose copy is undamaged.
pub(crate) async fn fetch(
    vm: &Rc<Vm>,
    file: &File,
    bytes: u64,
    holders: &[String],
) -> Option<Bytes> {
    for holder in holders {
        let Some(address) = address(vm, holder) else {
            continue;
        };
        let Some(content) = download(address, file, bytes).await else {
            continue;
        };
        if Digest::of_bytes(&content) == file.digest {
            return Some(content.into());
        }
        vm.metrics.record_bulk("damaged");
        let holder = holder.as_str();
        spdlog::error!("copy of bulk data does not match its digest", kv: { place = holder });
    }
    None
}

/// Returns the address of a VM, also if it is believed to be dead: it may have
/// recovered, or only some VMs cannot reach it.
fn address(vm: &Vm, id: &str) -> Option<SocketAddr> {
    let members = &vm.board.borrow().members;
    let local = Some(&members.local).filter(|local| local.vm == id);
    let other = members.others.get(id).map(|member| &member.record);
    local.or(other).map(|record| record.address)
}

async fn download(from: SocketAddr, file: &File, total: u64) -> Option<Vec<u8>> {
    let mut content = Vec::new();
    while (content.len() as u64) < total {
        let range = Range {
            file: file.clone(),
            offset: content.len() as u64,
            length: CHUNK_BYTES as u32,
        };
        match peer::request(from, &Request::ReadRange(range), CHUNK_TIMEOUT).await {
            Ok(Response::Range(bytes)) if !bytes.is_empty() => content.extend_from_slice(&bytes),
            _ => return None,
        }
    }
    Some(content)
}

const SWEEP_INTERVAL: Duration = Duration::from_secs(15);

/// Removes the files of deleted lots, at intervals; never returns on a VM with
/// a disk.
pub(crate) async fn sweep(vm: Rc<Vm>) {
    let Some(disk) = &vm.disk else {
        return;
    };
    loop {
        monoio::time::sleep(SWEEP_INTERVAL).await;
        let files = disk.list().await.unwrap_or_default();
        let mut floors = hash::Map::default();
        for file in files {
            if !floors.contains_key(&file.trainer) {
                let floor = rollout::floor(&vm, &file.trainer).await;
                floors.insert(file.trainer.clone(), floor.unwrap_or_default());
            }
            if file.lot < floors[&file.trainer] {
                // On failure, the next round tries again.
                let _ = disk.remove(file).await;
            }
        }
    }
}
