//! Records in rosters and members that can't be read, such as those of other programs.

mod common;

use chestnutlb_core::{DocumentId, DocumentKind};
use chestnutlb_standin::fleet::{Fleet, HostPlan};
use chestnutlb_store::{StoreCalls, WriteOutcome};
use common::{end_name, find_host_of_order, new_caller, open_feeds, order_task, start_fleet};
use serde_json::{Value, json};

const DATACENTER: &str = "dc-1";

// Changes an object as another program does.
fn change(fleet: &Fleet, kind: DocumentKind, change: impl Fn(&mut Value)) {
    let client = fleet.client();
    let id = DocumentId::new(kind, DATACENTER);
    fleet
        .wait_for("the write of another program", || {
            let Ok(Some(mut object)) = client.read(&id) else {
                return false;
            };
            change(&mut object.value);
            let outcome = client.write(&id, object.version, &object.value);
            matches!(outcome, WriteOutcome::Written(_))
        })
        .unwrap();
}

// Returns the hosts in the roster that can be read, with their states.
fn readable_hosts(fleet: &Fleet) -> Vec<(String, String)> {
    let id = DocumentId::new(DocumentKind::Roster, DATACENTER);
    let roster = fleet.client().read(&id).ok().flatten();
    let hosts = roster.and_then(|roster| roster.value["hosts"].as_array().cloned());
    let is_readable = |host: &Value| {
        let packets = host["packets"].as_str().unwrap_or_default();
        packets.parse::<std::net::SocketAddrV4>().is_ok()
    };
    let text = |host: &Value, field: &str| host[field].as_str().unwrap_or_default().to_owned();
    hosts
        .unwrap_or_default()
        .iter()
        .filter(|host| is_readable(host))
        .map(|host| (text(host, "name"), text(host, "state")))
        .collect()
}

fn is_serving(fleet: &Fleet, host: &str) -> bool {
    readable_hosts(fleet).contains(&(host.to_owned(), "serving".to_owned()))
}

// Guards against a data centre that no new host can join, for one odd record in its roster, and
// against resets of flows whose host has an odd record.
#[test]
fn odd_records_keep_no_new_host_out_and_no_living_flow_is_reset() {
    let mut fleet = start_fleet("odd-records");
    let mut feeds = open_feeds(&fleet, 12);
    change(&fleet, DocumentKind::Roster, |roster| {
        let hosts = roster["hosts"].as_array_mut().unwrap();
        for host in hosts.iter_mut().filter(|host| host["name"] == "feed-2") {
            host["packets"] = json!("10.1.0.9:70000");
        }
        hosts.push(json!({"name": "nobody", "port": 70000}));
        hosts.push(json!(7));
    });
    change(&fleet, DocumentKind::Members, |members| {
        members["entries"].as_array_mut().unwrap().push(json!({}));
    });
    // These two learn of the records when they start.
    let plan = HostPlan::new("order-9", DATACENTER, "calinawan/order-desk", false);
    fleet.start_entry("entry-3", DATACENTER).unwrap();
    fleet.start_host(&plan).unwrap();
    for host in ["order-9", "feed-2"] {
        fleet
            .wait_for(&format!("{host} in the roster"), || {
                is_serving(&fleet, host)
            })
            .unwrap();
    }
    fleet.kill("entry-1").unwrap();
    let mut orders = new_caller(&fleet, 2);
    let mut sent = 0;
    fleet
        .wait_for("the new host to get an order", || {
            for _ in 0..10 {
                orders.add(order_task(sent, 0, 5, 10));
                sent += 1;
            }
            orders.run(|_| false);
            (0..sent).any(|id| {
                find_host_of_order(&fleet, &format!("o{id}")).as_deref() == Some("order-9")
            })
        })
        .unwrap();
    for result in orders.results() {
        assert_eq!(end_name(&result.end), "answered", "{result:?}");
    }
    let before = feeds.elapsed();
    feeds.run(|feeds| feeds.elapsed() > before + std::time::Duration::from_secs(2));
    assert_eq!(feeds.live_feeds(), 12);
}
