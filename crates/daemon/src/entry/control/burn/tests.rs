use fescuelead_core::{burn::RequestResult, ids::ServiceName, profile::ProfileSet, record::Record};
use std::rc::Rc;
use tokio::{
    net::TcpListener,
    task::{LocalSet, spawn_local},
};
use tokio_util::sync::CancellationToken;

use super::*;
use crate::{
    auth::PeerKeys,
    entry::{
        control::agents::tests::append_by,
        observe::{End, Seen, Why, tests::SET},
        peers::tests::control_of,
        shared::ConfigView,
    },
};

fn observe(control: &Control, latency_us: u64, times: usize) {
    let set = Arc::new(ProfileSet::parse(SET).expect("valid set"));
    control.shared.config.send_replace(Arc::new(ConfigView { version: 1, set, ..ConfigView::default() }));
    let seen = Seen {
        service: ServiceName::new("previews").ok(),
        end: End::Counted(RequestResult::Answered),
        why: Why::Open,
        latency_us,
        waited_us: 0,
        retries: 0,
        hedges: 0,
    };
    (0..times).for_each(|_| control.shared.observer.push(&control.shared, seen.clone()));
}

/// Guards against a report without the slow requests of another entry, against counts that come twice because an entry was
/// restarted at its address, against entries that are left out silently, and against counts for whoever asks.
#[tokio::test]
async fn a_report_adds_up_all_entries_and_names_those_that_are_missing() {
    let run = LocalSet::new();
    run.run_until(async {
        let (ours, theirs) = (control_of("entry-a"), control_of("entry-b"));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        spawn_local(peers::accept(Rc::clone(&theirs), listener, CancellationToken::new()));
        observe(&ours, 1_000, 99);
        observe(&theirs, 60_000_000, 1);
        for (name, peer_address) in
            [("entry-b", address.to_string()), ("entry-c", address.to_string()), ("entry-d", "127.0.0.1:1".to_owned())]
        {
            append_by(name, &ours, vec![Record::EntryRegistered { peer_address }]).await;
        }
        let report = ours.burn().await;
        assert_eq!(report.entries, ["entry-a", "entry-b"]);
        let missing: Vec<_> = report.missing.iter().map(|missing| missing.entry.as_str()).collect();
        assert_eq!(missing, ["entry-c", "entry-d"]);
        let item = &report.items[0];
        assert_eq!((item.good, item.late), (99, 1));
        assert!(item.latency_ms.is_some_and(|latency| latency.p50 < 2.0 && latency.p999 >= 60_000.0), "{item:?}");

        let keys = PeerKeys::parse("k1:ffffffffffffffffffffffffffffffff").expect("valid keys");
        assert!(peers::fetch_burn(theirs.me(), address, &keys).await.is_err());
    })
    .await;
}
