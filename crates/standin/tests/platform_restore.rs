//! The platform's stand-in: restores of older copies and the era in its responses.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use chestnutlb_standin::platform::server;
use chestnutlb_standin::platform::{ERA_HEADER, PlatformSwitch, RestorePoint, RestoreReply};
use chestnutlb_wire::{ObjectList, ObjectReply, WriteReply};
use rocket::http::Status;
use rocket::local::asynchronous::{Client, LocalResponse};
use rocket::tokio::join;
use rocket::tokio::time::sleep;

// Longest wait of a watch that a test expects to end earlier.
const LONG_WATCH: Duration = Duration::from_secs(600);

// A running stand-in, called without a network.
struct TestPlatform(Client);

impl TestPlatform {
    async fn start() -> Self {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self(Client::tracked(server(address)).await.unwrap())
    }

    async fn get(&self, path: &str) -> LocalResponse<'_> {
        self.0.get(path.to_owned()).dispatch().await
    }

    async fn put(&self, name: &str, if_version: u64, value: u64) -> LocalResponse<'_> {
        let path = format!("/v1/objects/roster/{name}?if_version={if_version}");
        self.0.put(path).json(&value).dispatch().await
    }

    // Writes an object and returns its new version.
    async fn write(&self, name: &str, if_version: u64, value: u64) -> u64 {
        let response = self.put(name, if_version, value).await;
        assert_eq!(response.status(), Status::Ok);
        response.into_json::<WriteReply>().await.unwrap().version
    }

    async fn read(&self, name: &str) -> Option<ObjectReply> {
        let response = self.get(&format!("/v1/objects/roster/{name}")).await;
        response.into_json().await
    }

    async fn try_restore(&self, point: RestorePoint) -> LocalResponse<'_> {
        self.0.post("/restore").json(&point).dispatch().await
    }

    async fn restore(&self, point: RestorePoint) -> RestoreReply {
        self.try_restore(point).await.into_json().await.unwrap()
    }

    async fn switch(&self, switch: PlatformSwitch) {
        self.0.post("/switch").json(&switch).dispatch().await;
    }
}

fn era_of(response: &LocalResponse<'_>) -> Option<u64> {
    response.headers().get_one(ERA_HEADER)?.parse().ok()
}

fn watch_path(after: u64) -> String {
    format!("/v1/watch?after={after}&wait_ms={}", LONG_WATCH.as_millis())
}

#[rocket::async_test]
async fn restore_puts_back_older_objects_and_assigns_their_later_versions_again() {
    let platform = TestPlatform::start().await;
    assert_eq!(platform.write("dc-1", 0, 10).await, 1);
    assert_eq!(platform.write("dc-1", 1, 11).await, 2);
    assert_eq!(platform.write("dc-2", 0, 20).await, 3);
    let reply = platform.restore(RestorePoint::Revision(1)).await;
    assert_eq!(
        reply,
        RestoreReply {
            era: 1,
            revision: 1
        }
    );
    let restored = platform.read("dc-1").await.unwrap();
    assert_eq!((restored.version, restored.value), (1, 10.into()));
    assert_eq!(platform.read("dc-2").await, None);
    assert_eq!(platform.write("dc-1", 1, 12).await, 2);
    assert_eq!(platform.write("dc-3", 0, 30).await, 3);
}

// Writes twice, `gap` apart, and restores by the time since the first write. Returns the
// version that this put back, or `None` if the calls took too long for a certain result.
async fn restore_between_writes(gap: Duration) -> Option<u64> {
    let platform = TestPlatform::start().await;
    platform.write("dc-1", 0, 10).await;
    let first_written = Instant::now();
    sleep(gap).await;
    let second_start = Instant::now();
    platform.write("dc-1", 1, 11).await;
    let age = first_written.elapsed().as_millis() as u64;
    platform.restore(RestorePoint::AgeMs(age)).await;
    let latest_target = Instant::now() - Duration::from_millis(age);
    let version = platform.read("dc-1").await.unwrap().version;
    (latest_target < second_start).then_some(version)
}

#[rocket::async_test]
async fn restore_by_age_puts_back_objects_of_that_time() {
    let mut gap = Duration::from_millis(20);
    loop {
        if let Some(version) = restore_between_writes(gap).await {
            assert_eq!(version, 1);
            return;
        }
        gap *= 2;
    }
}

#[rocket::async_test]
async fn restore_of_age_zero_loses_nothing_and_starts_an_era() {
    let platform = TestPlatform::start().await;
    platform.write("dc-1", 0, 10).await;
    let reply = platform.restore(RestorePoint::AgeMs(0)).await;
    assert_eq!((reply.era, reply.revision), (1, 1));
    assert_eq!(platform.read("dc-1").await.unwrap().value, 10);
}

#[rocket::async_test]
async fn restore_without_such_a_copy_is_refused_and_starts_no_era() {
    let platform = TestPlatform::start().await;
    platform.write("dc-1", 0, 10).await;
    for point in [
        RestorePoint::AgeMs(LONG_WATCH.as_millis() as u64),
        RestorePoint::Revision(2),
    ] {
        let response = platform.try_restore(point).await;
        assert_eq!(response.status(), Status::UnprocessableEntity);
        assert_eq!(era_of(&response), Some(0));
    }
    assert_eq!(platform.read("dc-1").await.unwrap().version, 1);
}

#[rocket::async_test]
async fn dropped_copy_is_refused_and_newest_copies_are_kept() {
    const WRITES: u64 = 2_000;
    let platform = TestPlatform::start().await;
    for version in 0..WRITES {
        platform.write("dc-1", version, version).await;
    }
    let dropped = platform.try_restore(RestorePoint::Revision(1)).await;
    assert_eq!(dropped.status(), Status::UnprocessableEntity);
    let reply = platform.restore(RestorePoint::Revision(WRITES / 2)).await;
    assert_eq!(reply.revision, WRITES / 2);
}

#[rocket::async_test]
async fn second_restore_of_reassigned_version_puts_back_its_newest_object() {
    let platform = TestPlatform::start().await;
    platform.write("dc-1", 0, 10).await;
    platform.write("dc-1", 1, 11).await;
    platform.restore(RestorePoint::Revision(1)).await;
    platform.write("dc-1", 1, 12).await;
    platform.write("dc-1", 2, 13).await;
    let reply = platform.restore(RestorePoint::Revision(2)).await;
    assert_eq!(reply.era, 2);
    assert_eq!(platform.read("dc-1").await.unwrap().value, 12);
}

#[rocket::async_test]
async fn every_response_names_the_era_errors_included() {
    let platform = TestPlatform::start().await;
    for era in 0..3 {
        let if_version = era.min(1);
        let written = platform.put("dc-1", if_version, era).await;
        assert_eq!(
            (written.status(), era_of(&written)),
            (Status::Ok, Some(era))
        );
        let conflict = platform.put("dc-1", 99, era).await;
        assert_eq!(conflict.status(), Status::Conflict);
        assert_eq!(era_of(&conflict), Some(era));
        for (path, status) in [
            ("/v1/objects/roster/dc-1", Status::Ok),
            ("/v1/objects", Status::Ok),
            ("/v1/watch?after=0&wait_ms=0", Status::Ok),
            ("/v1/watch?after=99&wait_ms=0", Status::Gone),
            ("/v1/objects/roster/none", Status::NotFound),
            ("/unknown", Status::NotFound),
            ("/counts", Status::Ok),
        ] {
            let response = platform.get(path).await;
            assert_eq!(response.status(), status, "{path}");
            assert_eq!(era_of(&response), Some(era), "{path}");
        }
        platform
            .switch(PlatformSwitch {
                down: true,
                ..PlatformSwitch::default()
            })
            .await;
        for response in [
            platform.get("/v1/objects").await,
            platform.put("dc-2", 0, 0).await,
        ] {
            assert_eq!(response.status(), Status::ServiceUnavailable);
            assert_eq!(era_of(&response), Some(era));
        }
        platform
            .switch(PlatformSwitch {
                lose_answers: 1,
                ..PlatformSwitch::default()
            })
            .await;
        let lost = platform.put("dc-2", 0, 0).await;
        assert_eq!(lost.status(), Status::GatewayTimeout);
        assert_eq!(era_of(&lost), Some(era));
        let restored = platform.try_restore(RestorePoint::Revision(1)).await;
        assert_eq!(era_of(&restored), Some(era + 1));
    }
}

#[rocket::async_test]
async fn restore_ends_waiting_watch_after_a_lost_version_with_gone() {
    let platform = TestPlatform::start().await;
    platform.write("dc-1", 0, 10).await;
    platform.write("dc-1", 1, 11).await;
    let path = watch_path(2);
    let start = Instant::now();
    let (response, _) = join!(platform.get(&path), async {
        while !has_watch(&platform).await {}
        platform.restore(RestorePoint::Revision(1)).await
    });
    assert!(start.elapsed() < LONG_WATCH);
    assert_eq!(response.status(), Status::Gone);
    assert_eq!(era_of(&response), Some(1));
}

#[rocket::async_test]
async fn restore_that_loses_nothing_ends_waiting_watch_with_the_new_era() {
    let platform = TestPlatform::start().await;
    platform.write("dc-1", 0, 10).await;
    let path = watch_path(1);
    let (response, _) = join!(platform.get(&path), async {
        while !has_watch(&platform).await {}
        platform.restore(RestorePoint::Revision(1)).await
    });
    assert_eq!(response.status(), Status::Ok);
    assert_eq!(era_of(&response), Some(1));
    let list: ObjectList = response.into_json().await.unwrap();
    assert_eq!((list.revision, list.objects.len()), (1, 0));
}

// Returns whether the platform has received a watch.
async fn has_watch(platform: &TestPlatform) -> bool {
    let counts: serde_json::Value = platform.get("/counts").await.into_json().await.unwrap();
    counts["watches"] != 0
}

#[rocket::async_test]
async fn restore_during_stale_reads_shows_the_restored_objects() {
    let platform = TestPlatform::start().await;
    platform.write("dc-1", 0, 10).await;
    platform.write("dc-1", 1, 11).await;
    platform
        .switch(PlatformSwitch {
            stale: true,
            ..PlatformSwitch::default()
        })
        .await;
    platform.restore(RestorePoint::Revision(1)).await;
    platform.write("dc-1", 1, 12).await;
    assert_eq!(platform.read("dc-1").await.unwrap().value, 10);
}
