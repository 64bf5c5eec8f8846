//! A block of ports that no other deployment on this machine uses.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
};

use crate::Error;

/// The port that marks a loopback address as taken.
const LOCK_PORT: u16 = 12_000;
const PORT_MAX: u16 = 32_000;
/// Loopback addresses that blocks share out, each with all of its ports.
const BLOCK_COUNT: u32 = 50_000;
/// Blocks that differ in the last but one octet of their address only.
const BLOCKS_PER_ROW: u32 = 250;

/// A loopback address that is this deployment's for as long as the block
/// lives.
///
/// Each block has an address of its own rather than ports of `127.0.0.1`: the
/// system may give the ports of that address to outgoing connections, and then
/// nothing can listen on them.
#[derive(Debug)]
pub struct Block {
    /// Holds the first port, which marks the block as taken.
    _lock: TcpListener,
    address: Ipv4Addr,
    /// The last port that was given out.
    last_used_port: u16,
}

impl Block {
    /// Takes a free block.
    ///
    /// # Errors
    ///
    /// When every block is taken.
    pub fn acquire() -> Result<Self, Error> {
        let start = std::process::id() % BLOCK_COUNT;
        for step in 0..BLOCK_COUNT {
            let address = address((start + step) % BLOCK_COUNT);
            if let Ok(lock) = TcpListener::bind((address, LOCK_PORT)) {
                return Ok(Self {
                    _lock: lock,
                    address,
                    last_used_port: LOCK_PORT,
                });
            }
        }
        Err(Error::Deployment("no free block of ports".to_string()))
    }

    /// Returns the next address of the block on which nothing listens: a
    /// process of a run that was killed may still hold its port.
    ///
    /// # Panics
    ///
    /// When the block is used up.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> SocketAddr {
        loop {
            assert!(
                self.last_used_port < PORT_MAX,
                "the block of ports is used up"
            );
            self.last_used_port += 1;
            let address = SocketAddr::from((self.address, self.last_used_port));
            // Listening there to see whether it is free would take the port for
            // a moment: a process that another thread starts meanwhile holds
            // the listener until its own program runs.
            if TcpStream::connect(address).is_err() {
                return address;
            }
        }
    }

    /// Returns a folder that is this block's.
    pub fn folder(&self) -> PathBuf {
        let name = format!("tarragonseam-{}-{}", std::process::id(), self.address);
        std::env::temp_dir().join(name)
    }
}

/// Returns the loopback address of the block at `index`; none is the
/// machine's usual one, `127.0.0.1`.
fn address(index: u32) -> Ipv4Addr {
    let [.., row] = (1 + index / BLOCKS_PER_ROW).to_be_bytes();
    let [.., column] = (1 + index % BLOCKS_PER_ROW).to_be_bytes();
    Ipv4Addr::new(127, row, column, 1)
}
