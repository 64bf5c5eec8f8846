//! Tests of a running entry daemon through the socket that callers use.

mod account;
mod answer;
#[path = "../common/mod.rs"]
mod common;
mod connection;
mod disconnect;
mod engine;
mod fault;
mod fixture;
mod framing;
mod hedge;
mod reclaim;
mod service;
mod shutdown;
mod tls;
mod trainer;
