//! Blocks of ports, each used by one deployment at a time.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
};

use crate::Error;

/// The port whose listener reserves a loopback address.
const LOCK_PORT: u16 = 12_000;
/// The highest port that a block returns.
const PORT_MAX: u16 = 32_000;
/// The number of blocks, each with a loopback address of its own.
const BLOCK_COUNT: u32 = 50_000;
/// The number of blocks that share the second octet of their address.
const BLOCKS_PER_ROW: u32 = 250;

/// A loopback address that is reserved for one deployment until the block is
/// dropped.
///
/// Each block has an address of its own instead of a range of ports of
/// `127.0.0.1`, because the system may assign ports of that address to outgoing
/// connections, and nothing can listen on them then.
#[derive(Debug)]
pub struct Block {
    /// The listener that reserves the address.
    _lock: TcpListener,
    address: Ipv4Addr,
    /// The last port that `next` returned.
    last_used_port: u16,
}

impl Block {
    /// Reserves a free block.
    ///
    /// # Errors
    ///
    /// When no block is free.
    pub fn acquire() -> Result<Self, Error> {
        let start = std::process::id() % BLOCK_COUNT;
        for offset in 0..BLOCK_COUNT {
            let address = address((start + offset) % BLOCK_COUNT);
            if let Ok(lock) = TcpListener::bind((address, LOCK_PORT)) {
                return Ok(Self {
                    _lock: lock,
                    address,
                    last_used_port: LOCK_PORT,
                });
            }
        }
        Err(Error::Deployment(
            "every block of ports is in use".to_string(),
        ))
    }

    /// Returns the next address of the block on which nothing listens. Processes
    /// of an earlier run that was killed may still listen on other addresses.
    ///
    /// # Panics
    ///
    /// When the block has no ports left.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> SocketAddr {
        loop {
            assert!(
                self.last_used_port < PORT_MAX,
                "the block has no ports left"
            );
            self.last_used_port += 1;
            let address = SocketAddr::from((self.address, self.last_used_port));
            // A trial connection leaves the port free. A trial listener would
            // not: a child process that another thread starts at that moment
            // inherits the listener and keeps it open until its `exec`.
            if TcpStream::connect(address).is_err() {
                return address;
            }
        }
    }

    /// Returns the path of a folder for this block alone.
    pub fn folder(&self) -> PathBuf {
        let name = format!("tarragonseam-{}-{}", std::process::id(), self.address);
        std::env::temp_dir().join(name)
    }
}

/// Returns the loopback address of the block at `index`, which is never
/// `127.0.0.1`.
fn address(index: u32) -> Ipv4Addr {
    let [.., row] = (1 + index / BLOCKS_PER_ROW).to_be_bytes();
    let [.., column] = (1 + index % BLOCKS_PER_ROW).to_be_bytes();
    Ipv4Addr::new(127, row, column, 1)
}
