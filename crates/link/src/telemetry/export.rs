//! Export of finished spans to a collector, as OTLP protobuf over HTTP.

use std::{net::SocketAddr, time::Duration};

use opentelemetry::metrics::Counter;
use opentelemetry_proto::{
    tonic::collector::trace::v1::ExportTraceServiceRequest,
    transform::{
        common::tonic::ResourceAttributesWithSchema,
        trace::tonic::group_spans_by_resource_and_scope,
    },
};
use opentelemetry_sdk::{Resource, trace::SpanData};
use prost::Message;

use super::buffer::Buffer;
use crate::http::{Limits, Pool, client::Call};

const SEND_PERIOD: Duration = Duration::from_secs(1);
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
const BATCH_SPANS_MAX: usize = 512;

/// Sends batches of spans to one collector.
pub(super) struct Sender {
    address: SocketAddr,
    resource: ResourceAttributesWithSchema,
    pool: Pool,
    sent: Counter<u64>,
    dropped: Counter<u64>,
}

impl Sender {
    pub(super) fn new(
        address: SocketAddr,
        name: &'static str,
        sent: Counter<u64>,
        dropped: Counter<u64>,
    ) -> Self {
        let resource = Resource::builder_empty().with_service_name(name).build();
        Self {
            address,
            resource: (&resource).into(),
            pool: Pool::new(Limits::new()),
            sent,
            dropped,
        }
    }

    /// Sends finished spans once a second until the process ends. A batch that
    /// the collector does not accept is dropped, so that traces do not use up
    /// memory that requests need.
    pub(super) async fn run(self, buffer: Buffer) {
        loop {
            monoio::time::sleep(SEND_PERIOD).await;
            let (spans, dropped) = buffer.take_unsent();
            self.dropped.add(dropped, &[]);
            for batch in spans.chunks(BATCH_SPANS_MAX) {
                self.send(batch).await;
            }
        }
    }

    async fn send(&self, batch: &[SpanData]) {
        let request = ExportTraceServiceRequest {
            resource_spans: group_spans_by_resource_and_scope(batch.to_vec(), &self.resource),
        };
        let call = Call::post("/v1/traces", request.encode_to_vec())
            .header("content-type", "application/x-protobuf")
            .deadline(SEND_TIMEOUT);
        let response = self.pool.fetch(self.address, call).await;
        let is_accepted = response.is_ok_and(|response| response.status.is_success());
        let counter = if is_accepted {
            &self.sent
        } else {
            &self.dropped
        };
        counter.add(batch.len() as u64, &[]);
    }
}
