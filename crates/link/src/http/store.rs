//! A body in one piece of memory that grows in place and is charged to a
//! [`Memory`](super::memory::Memory).

use std::{ptr::NonNull, slice};

use bytes::Bytes;
use rustix::mm::{MapFlags, MremapFlags, ProtFlags, mmap_anonymous, mremap, munmap};

use super::memory::Charge;

/// Bodies up to this size are held in the heap. Larger ones have a mapping of
/// their own, which grows without a copy, and whose memory returns to the system
/// at once. The heap would keep it, and the next body might not fit the gap.
const HEAP_BYTES_MAX: usize = 64 * 1024;
/// By how much the charge of a mapping grows. Pages are only in use once they
/// are written to, so the rest of the mapping costs nothing.
const STEP_BYTES: usize = 64 * 1024;
const HEAP_BYTES_MIN: usize = 512;

/// The error of a mapping that the system refuses, or of a body for which the
/// budget has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// A body that is being read.
#[derive(Debug)]
pub(crate) struct Store {
    data: Data,
    charge: Charge,
}

#[derive(Debug)]
enum Data {
    Heap(Vec<u8>),
    Mapped(Region),
}

impl Store {
    pub(crate) fn new(charge: Charge) -> Self {
        Self {
            data: Data::Heap(Vec::new()),
            charge,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.as_ref().len()
    }

    pub(crate) fn charge(&self) -> &Charge {
        &self.charge
    }

    /// Makes room for a body of exactly `bytes`. With `is_forced`, the budget is
    /// charged even if it has no room.
    pub(crate) fn reserve_exact(&mut self, bytes: usize, is_forced: bool) -> Result<(), NoRoom> {
        match is_forced {
            true => self.charge.force_grow_to(bytes),
            false if !self.charge.try_grow_to(bytes) => return Err(NoRoom),
            false => {}
        }
        self.allocate(bytes)
    }

    /// Makes room for `more` bytes beyond those held.
    pub(crate) fn reserve(&mut self, more: usize) -> Result<(), NoRoom> {
        let needed = self.len() + more;
        if needed <= self.capacity() {
            return Ok(());
        }
        let target = match needed <= HEAP_BYTES_MAX {
            true => needed.next_power_of_two().max(HEAP_BYTES_MIN),
            false => needed.next_multiple_of(STEP_BYTES),
        };
        if !self.charge.try_grow_to(target) {
            return Err(NoRoom);
        }
        self.allocate(target)
    }

    /// Appends `data`, for which there must be room.
    pub(crate) fn extend(&mut self, data: &[u8]) -> Result<(), NoRoom> {
        if self.len() + data.len() > self.capacity() {
            self.reserve(data.len())?;
        }
        match &mut self.data {
            Data::Heap(heap) => heap.extend_from_slice(data),
            Data::Mapped(region) => region.extend(data),
        }
        Ok(())
    }

    /// Returns for how many bytes there is room without a higher charge.
    fn capacity(&self) -> usize {
        match &self.data {
            Data::Heap(heap) => heap.capacity(),
            Data::Mapped(region) => region.reserved,
        }
    }

    fn allocate(&mut self, bytes: usize) -> Result<(), NoRoom> {
        match &mut self.data {
            Data::Heap(heap) if bytes <= HEAP_BYTES_MAX => {
                heap.reserve_exact(bytes.saturating_sub(heap.len()));
            }
            Data::Heap(heap) => {
                let mut region = Region::new(bytes)?;
                region.extend(heap);
                self.data = Data::Mapped(region);
            }
            Data::Mapped(region) => region.reserve(bytes)?,
        }
        Ok(())
    }

    /// Returns the complete body, which keeps its charge, or `None` if it was
    /// given up in favour of others.
    pub(crate) fn into_bytes(mut self) -> Option<Bytes> {
        if !self.charge.finish() {
            return None;
        }
        if self.len() == 0 {
            return Some(Bytes::new());
        }
        Some(Bytes::from_owner(self))
    }
}

impl AsRef<[u8]> for Store {
    fn as_ref(&self) -> &[u8] {
        match &self.data {
            Data::Heap(heap) => heap,
            Data::Mapped(region) => region.as_slice(),
        }
    }
}

/// A mapping of memory.
#[derive(Debug)]
struct Region {
    start: NonNull<u8>,
    /// The size of the mapping.
    mapped: usize,
    /// For how many bytes the budget is charged.
    reserved: usize,
    len: usize,
}

// SAFETY: the region is the only owner of its mapping.
unsafe impl Send for Region {}
// SAFETY: a shared region is only read.
unsafe impl Sync for Region {}

impl Region {
    fn new(bytes: usize) -> Result<Self, NoRoom> {
        let protection = ProtFlags::READ | ProtFlags::WRITE;
        let flags = MapFlags::PRIVATE | MapFlags::NORESERVE;
        // SAFETY: a new mapping at an address that the system chooses affects no
        // other memory.
        let start =
            unsafe { mmap_anonymous(std::ptr::null_mut(), bytes.max(1), protection, flags) };
        let start = start.ok().and_then(|start| NonNull::new(start.cast()));
        Ok(Self {
            start: start.ok_or(NoRoom)?,
            mapped: bytes.max(1),
            reserved: bytes,
            len: 0,
        })
    }

    /// Makes the mapping at least `bytes` long.
    fn reserve(&mut self, bytes: usize) -> Result<(), NoRoom> {
        if bytes > self.mapped {
            // Pages beyond `reserved` are not written to, so the doubled size
            // keeps calls rare and costs no memory.
            let size = bytes.max(self.mapped.saturating_mul(2));
            let start = self.start.as_ptr().cast();
            // SAFETY: `start` and `mapped` describe the mapping that the region
            // owns, and no reference to it exists while `self` is borrowed
            // mutably.
            let moved = unsafe { mremap(start, self.mapped, size, MremapFlags::MAYMOVE) };
            let moved = moved.ok().and_then(|start| NonNull::new(start.cast()));
            self.start = moved.ok_or(NoRoom)?;
            self.mapped = size;
        }
        self.reserved = self.reserved.max(bytes);
        Ok(())
    }

    /// Appends `data`, which must fit.
    fn extend(&mut self, data: &[u8]) {
        assert!(data.len() <= self.mapped - self.len, "no room for the data");
        // SAFETY: the mapping has `mapped` writable bytes, of which `data.len()`
        // beyond `len` are free, and `data` cannot be part of them.
        unsafe {
            let end = self.start.as_ptr().add(self.len);
            end.copy_from_nonoverlapping(data.as_ptr(), data.len());
        }
        self.len += data.len();
    }

    fn as_slice(&self) -> &[u8] {
        // SAFETY: the first `len` bytes of the mapping have been written.
        unsafe { slice::from_raw_parts(self.start.as_ptr(), self.len) }
    }
}

impl Drop for Region {
    fn drop(&mut self) {
        // SAFETY: the region owns the mapping, and nothing refers to it any more.
        // An error would leave the memory mapped, which cannot be helped here.
        let _ = unsafe { munmap(self.start.as_ptr().cast(), self.mapped) };
    }
}

#[cfg(test)]
mod tests {
    use super::{super::memory::Memory, *};

    /// Guards against bytes that are lost or changed when a body moves from the
    /// heap to a mapping and when that grows.
    #[test]
    fn extend_over_all_sizes() {
        let memory = Memory::default();
        let mut store = Store::new(memory.charge_answer());
        let mut expected = Vec::new();
        for number in 0..3000_usize {
            let part = vec![(number % 251) as u8; number % 700];
            store.extend(&part).unwrap();
            expected.extend_from_slice(&part);
            assert!(memory.used_bytes() <= 2 * expected.len() + 2 * STEP_BYTES);
        }
        let bytes = store.into_bytes().unwrap();
        assert_eq!(bytes, expected);
        assert!(memory.used_bytes() >= bytes.len());
        drop(bytes);
        assert_eq!(memory.used_bytes(), 0);
    }

    #[test]
    fn reserve_exact_length() {
        let memory = Memory::new(0, 300_000);
        let mut store = Store::new(memory.charge_answer());
        assert_eq!(store.reserve_exact(300_001, false), Err(NoRoom));
        store.reserve_exact(300_000, false).unwrap();
        store.extend(&vec![1; 300_000]).unwrap();
        assert_eq!(memory.used_bytes(), 300_000);
    }
}
