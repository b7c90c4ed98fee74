//! Translates requests of the drain record store into requests to the state service, and the responses back.

use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{FencingToken, Revision};
use crate::upgrade::Format;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, KeyPage, StoreWrite};
use caperstile_disruption::record_store::{self, ConditionalWrite, StoreEntry, StoreResponse};

/// Translates a request of the record store into a request to the state service.
pub(super) fn service_request(
    request: record_store::StoreRequest,
    format: Format,
    token: FencingToken,
) -> StoreRequest {
    match request {
        record_store::StoreRequest::Scan { prefix, after } => StoreRequest::Scan { prefix, after },
        record_store::StoreRequest::Write(write) => StoreRequest::CompareAndSwap(fenced_write(write, format, token)),
    }
}

/// Translates a write of the record store, with the further condition that this node still leads: the leader key still
/// has the revision that is this leader's fencing token.
fn fenced_write(write: ConditionalWrite, format: Format, token: FencingToken) -> CompareAndSwap {
    let still_leads = condition(format.leader_key(), Revision(token.0));
    let unchanged = write.conditions.iter().map(|unchanged| condition(&unchanged.key, Revision(unchanged.revision)));
    let conditions = [still_leads].into_iter().chain(unchanged).collect();
    let puts = write.puts.into_iter().map(|put| StoreWrite::Put { key: put.key, value: put.value, lease: None });
    let removals = write.removals.into_iter().map(|key| StoreWrite::Delete { key });
    CompareAndSwap { conditions, writes: puts.chain(removals).collect() }
}

/// Translates a response of the state service into a response to the record store. Status 0 means that no response
/// came, so that the outcome is unknown.
pub(super) fn store_response(response: &ServiceResponse) -> StoreResponse {
    match response.status {
        200 => page(response).or_else(|| written(response)).unwrap_or(StoreResponse::Unknown),
        409 => StoreResponse::Conflict,
        0 => StoreResponse::Unknown,
        _ => StoreResponse::Rejected,
    }
}

fn page(response: &ServiceResponse) -> Option<StoreResponse> {
    let page: KeyPage = response.parse()?;
    let entry = |item: crate::wire::KeyValue| StoreEntry { key: item.key, value: item.value, revision: item.revision };
    Some(StoreResponse::Page { entries: page.items.into_iter().map(entry).collect(), more: page.more })
}

fn written(response: &ServiceResponse) -> Option<StoreResponse> {
    Some(StoreResponse::Written { revision: response.parse::<CompareAndSwapResponse>()?.revision })
}

/// Whether a compare-and-swap failed because the leader key has changed, so that another node leads.
pub(super) fn leader_key_changed(response: &ServiceResponse, format: Format) -> bool {
    let failed = response.parse::<CompareAndSwapResponse>();
    failed.is_some_and(|response| response.failed_keys.iter().any(|key| key == format.leader_key()))
}
