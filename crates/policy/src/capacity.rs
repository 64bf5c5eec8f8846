//! How many endpoints each failure domain should have.

use board::{
    Board,
    config::Capacity,
    endpoint::{State, Tenure},
};

/// A change to the endpoints of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Start this many.
    Start {
        /// The service.
        service: String,
        /// How long they can be counted on.
        tenure: Tenure,
        /// How many.
        count: u32,
    },
    /// Stop one.
    Stop {
        /// The service.
        service: String,
        /// The name of the endpoint.
        endpoint: String,
    },
}

/// Returns the changes that bring `failure_domain` to what is declared.
pub fn plan(board: &Board, failure_domain: &str) -> Vec<Change> {
    let models = board.config.models.iter().map(|(n, m)| (n, m.capacity));
    let services = board.config.services.iter().map(|(n, s)| (n, s.capacity));
    models
        .chain(services)
        .flat_map(|(service, capacity)| of_service(board, failure_domain, service, capacity))
        .collect()
}

fn of_service(board: &Board, domain: &str, service: &str, capacity: Capacity) -> Vec<Change> {
    let wanted = [
        (Tenure::Stable, capacity.stable),
        (Tenure::Cheap, capacity.cheap),
    ];
    wanted
        .into_iter()
        .filter_map(|(tenure, count)| of_tenure(board, domain, service, tenure, count))
        .collect()
}

fn of_tenure(
    board: &Board,
    domain: &str,
    service: &str,
    tenure: Tenure,
    wanted: u32,
) -> Option<Change> {
    let present: Vec<_> = board
        .endpoints
        .of_service(service)
        .iter()
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|e| e.record.failure_domain == domain && e.record.tenure == tenure)
        .filter(|e| matches!(e.record.state, State::Starting | State::Ready))
        .collect();
    let count = present.len() as u32;
    if count < wanted {
        return Some(Change::Start {
            service: service.to_string(),
            tenure,
            count: wanted - count,
        });
    }
    if count == wanted {
        return None;
    }
    let last = present
        .iter()
        .max_by(|a, b| a.record.id.cmp(&b.record.id))?;
    Some(Change::Stop {
        service: service.to_string(),
        endpoint: last.record.id.clone(),
    })
}
