//! Explains where an entry VM would send the packets of a flow now, and why, without sending any.

use std::net::SocketAddrV4;
use std::sync::Arc;

use compact_str::ToCompactString;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, get};

use chestnutlb_core::entry::EntryRouter;
use chestnutlb_core::view::{ServiceView, ViewHost};
use chestnutlb_core::{
    FlowKey, OpeningExplanation, RouteDecision, RoutingView, ServiceId, ServiceKind, TcpSegment,
    TimePoint,
};
use chestnutlb_wire::status::{CandidateExplanation, FlowExplanation, HopExplanation};

use crate::clock;
use crate::entry_http::EntryShared;
use crate::flow_questions::FlowQuestions;

type HttpError = (Status, String);

/// Route of explanations. `service` is an address, or a firm and service.
#[get("/v1/explain?<caller>&<service>")]
pub fn explain(
    shared: &State<Arc<EntryShared>>,
    questions: &State<FlowQuestions>,
    caller: &str,
    service: &str,
) -> Result<Json<FlowExplanation>, HttpError> {
    let view = shared.view();
    let key = FlowKey {
        caller: parse_caller(caller)?,
        service: service_address(&view, service)?,
    };
    let found = view
        .service_at(key.service)
        .ok_or_else(|| no_service(&key.service))?;
    let mut explanation = match found.spec.kind {
        ServiceKind::Passthrough => {
            let answer = questions.ask(key).ok_or_else(no_answer)?;
            let opening = answer.map_err(|_| no_service(&key.service))?;
            explain_passthrough(&view, found, key, &opening)
        }
        ServiceKind::Stream | ServiceKind::Request => explain_flow(&view, found, key),
    };
    let view_age = shared.view_age(&view, clock::now());
    explanation.view_age_ms = view_age.map(|age| age.as_millis() as u64);
    Ok(Json(explanation))
}

fn parse_caller(text: &str) -> Result<SocketAddrV4, HttpError> {
    text.parse().map_err(|_| {
        let text = format!("caller: found {text:?}, allowed is an IPv4 address and port");
        (Status::BadRequest, text)
    })
}

// Returns the address of a service that is named by it or by firm and service.
fn service_address(view: &RoutingView, text: &str) -> Result<SocketAddrV4, HttpError> {
    if let Ok(address) = text.parse() {
        return Ok(address);
    }
    let id: ServiceId = text.parse().map_err(|_| {
        let text = format!(
            "service: found {text:?}, allowed is an IPv4 address and port, or firm/service"
        );
        (Status::BadRequest, text)
    })?;
    let service = view.service(&id).ok_or_else(|| no_service(&id))?;
    Ok(service.spec.address)
}

fn no_service(what: &dyn std::fmt::Display) -> HttpError {
    (Status::NotFound, format!("no service at {what}"))
}

fn no_answer() -> HttpError {
    let text = "the packet thread does not answer: it lags, or too many questions wait";
    (Status::ServiceUnavailable, text.to_owned())
}

fn explain_passthrough(
    view: &RoutingView,
    service: &ServiceView,
    key: FlowKey,
    opening: &OpeningExplanation,
) -> FlowExplanation {
    let hops = |addresses: &[SocketAddrV4]| {
        let hosts = addresses.iter().filter_map(|address| {
            let mut hosts = service.hosts().iter();
            hosts.find(|host| host.record.packets == *address)
        });
        hosts.map(explain_hop).collect()
    };
    FlowExplanation {
        opening: opening
            .plan
            .as_ref()
            .map_or_else(|_| Vec::new(), |plan| hops(&plan.hops)),
        candidates: opening
            .candidates
            .iter()
            .map(CandidateExplanation::from)
            .collect(),
        dropped: opening
            .plan
            .as_ref()
            .err()
            .map(|cause| cause.as_str().into()),
        walk: hops(&opening.walk),
        complete: opening.walk.len() == service.hosts().len(),
        ..explanation_of(view, service, key)
    }
}

// Routes a SYN and a later packet of the flow with an empty router, so the result does
// not depend on owner hints.
fn explain_flow(view: &Arc<RoutingView>, service: &ServiceView, key: FlowKey) -> FlowExplanation {
    let mut router = EntryRouter::new(0);
    router.replace_view(Arc::clone(view), TimePoint(0));
    let mut hops = |segment: &TcpSegment| match router.route(segment, TimePoint(0)) {
        RouteDecision::Forward(plan) => {
            let hosts = plan.hops().iter().map(|host| service.host(*host));
            (hosts.map(explain_hop).collect(), plan.complete)
        }
        RouteDecision::Drop(_) => (Vec::new(), false),
    };
    let syn = TcpSegment::first_syn(key);
    let later = TcpSegment {
        is_syn: false,
        ..syn
    };
    let (opening, _) = hops(&syn);
    let (walk, complete) = hops(&later);
    FlowExplanation {
        opening,
        walk,
        complete,
        ..explanation_of(view, service, key)
    }
}

// Returns an explanation without hops.
fn explanation_of(view: &RoutingView, service: &ServiceView, key: FlowKey) -> FlowExplanation {
    FlowExplanation {
        service: service.id().to_compact_string(),
        bucket: key.hash().bucket().0,
        generation: view.generation.into(),
        drained: view
            .drained
            .iter()
            .map(ToCompactString::to_compact_string)
            .collect(),
        opening: Vec::new(),
        candidates: Vec::new(),
        dropped: None,
        view_age_ms: None,
        walk: Vec::new(),
        complete: false,
    }
}

fn explain_hop(host: &ViewHost) -> HopExplanation {
    HopExplanation {
        host: host.record.name.to_compact_string(),
        state: host.state.to_compact_string(),
        weight: host.record.weight.get(),
        packets: host.record.packets.to_compact_string(),
    }
}
