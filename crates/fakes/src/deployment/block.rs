//! A block of ports that no other deployment on this machine uses.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
};

use crate::Error;

/// Ports below the range from which the system takes ports of its own.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 32_000;
const BLOCK_PORTS: u16 = 200;

/// Ports that are this deployment's for as long as the block lives.
#[derive(Debug)]
pub struct Block {
    /// Holds the first port, which marks the block as taken.
    _mark: TcpListener,
    first: u16,
    used: u16,
}

impl Block {
    /// Takes a free block.
    ///
    /// # Errors
    ///
    /// When every block is taken.
    pub fn take() -> Result<Self, Error> {
        let blocks = (LAST_PORT - FIRST_PORT) / BLOCK_PORTS;
        let start = (std::process::id() % u32::from(blocks)) as u16;
        for step in 0..blocks {
            let first = FIRST_PORT + (start + step) % blocks * BLOCK_PORTS;
            if let Ok(mark) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                return Ok(Self {
                    _mark: mark,
                    first,
                    used: 1,
                });
            }
        }
        Err(Error::Late("no free block of ports".to_string()))
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
            assert!(self.used < BLOCK_PORTS, "the block of ports is used up");
            let port = self.first + self.used;
            self.used += 1;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }

    /// Returns a folder that is this block's.
    pub fn folder(&self) -> PathBuf {
        let name = format!("tarragonseam-{}-{}", std::process::id(), self.first);
        std::env::temp_dir().join(name)
    }
}
