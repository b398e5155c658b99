//! The position of a watch in a feed, across restores of the store.

use chestnutlb_core::{ObjectVersion, StoreEra, StoreRevision};
use chestnutlb_store::{FeedPosition, FeedStep};

fn version(era: u64, revision: u64) -> ObjectVersion {
    ObjectVersion::new(StoreEra(era), StoreRevision(revision.into())).unwrap()
}

#[test]
fn later_era_is_never_stale_and_an_earlier_one_always_is() {
    let mut position = FeedPosition::default();
    let steps = [
        (version(1, 20), FeedStep::Current, version(1, 20)),
        (version(1, 19), FeedStep::Stale, version(1, 20)),
        (
            version(2, 15),
            FeedStep::Restored(StoreEra(1)),
            version(2, 15),
        ),
        (version(1, 30), FeedStep::Stale, version(2, 15)),
        (version(2, 16), FeedStep::Current, version(2, 16)),
        (
            version(4, 1),
            FeedStep::Restored(StoreEra(2)),
            version(4, 1),
        ),
    ];
    for (version, step, after) in steps {
        assert_eq!(position.advance(version), step, "{version}");
        assert_eq!(position.after(), Some(after), "{version}");
    }
}

// The calls fail while the store is away, so that the whole feed is read after it.
#[test]
fn restore_during_failed_calls_is_recognized() {
    let mut position = FeedPosition::default();
    position.advance(version(1, 20));
    position.reset();
    assert_eq!(position.advance(version(0, 25)), FeedStep::Stale);
    assert_eq!(position.after(), None, "the whole feed is still due");
    let restored = FeedStep::Restored(StoreEra(1));
    assert_eq!(position.advance(version(2, 15)), restored);
    position.reset();
    assert_eq!(position.advance(version(2, 14)), FeedStep::Current);
}

#[test]
fn store_that_names_no_era_is_never_restored() {
    let mut position = FeedPosition::default();
    for revision in [0, 3, 9, 20] {
        assert_eq!(position.advance(version(0, revision)), FeedStep::Current);
    }
}
