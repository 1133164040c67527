use fescuelead_core::{
    ids::{EntryId, TaskId},
    record::{Batch, Record},
    snapshot::Page,
    testing,
};
use fescuelead_wire::peer_capnp::entry_peer;
use tokio::{net::TcpListener, task::LocalSet};
use tokio_util::sync::CancellationToken;

use super::*;
use crate::{
    auth::PeerKeys,
    entry::peers::{accept, tests::control_of},
};

const KEYS: &str = "k1:000102030405060708090a0b0c0d0e0f";
const OTHER_KEYS: &str = "k1:0f0e0d0c0b0a09080706050403020100";

fn me(name: &str) -> EntryRef {
    EntryRef::new(EntryId::new(name).expect("valid id"), 7)
}

/// An entry that has read tasks from the log, and where it takes connections.
async fn peer(local: &LocalSet, name: &str, tasks: u64) -> (Rc<Control>, SocketAddr) {
    let control = control_of(name);
    {
        let writer = EntryId::new("entry-w").expect("valid id");
        let submitted = |number: u64| {
            let task = TaskId::new(format!("c0-{number}")).expect("valid id");
            let record = Record::TaskSubmitted { task, spec: testing::task_spec() };
            Batch::new(writer.clone(), 1, number + 1).with_record(record).encode().expect("encodes")
        };
        let bytes: Vec<_> = (0..tasks).map(submitted).collect();
        let records: Vec<(u64, &[u8])> = (0..).zip(bytes.iter().map(Vec::as_slice)).collect();
        let now = control.shared.clock.now();
        let state = &mut *control.state.borrow_mut();
        state.cell.apply_page(&Page { start: now, records: &records, first_offset: 0, tail_offset: tasks });
        state.config.apply_page(&Page { start: now, records: &[], first_offset: 0, tail_offset: 0 });
    }
    let now = control.shared.clock.now();
    control.state.borrow_mut().cell_health.set_caught_up(now);
    control.state.borrow_mut().config_health.set_caught_up(now);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    local.spawn_local(accept(Rc::clone(&control), listener, CancellationToken::new()));
    (control, address)
}

fn ask(have: u64) -> CopyAsk {
    let address = "127.0.0.1:9".to_owned();
    CopyAsk { from: me("entry-n"), address, cell_stream: cell_stream(&CellState::new(0)), have: (have, 0) }
}

/// Guards against a copy that is given to a process without an accepted key.
#[tokio::test]
async fn a_copy_needs_a_valid_signature() {
    let local = LocalSet::new();
    let (control, address) = peer(&local, "entry-a", 3).await;
    let run = local.run_until(async {
        let wrong = PeerKeys::parse(OTHER_KEYS).expect("valid keys");
        assert!(peers::fetch_copies(address, &wrong, &ask(0)).await.is_err());
        assert_eq!(control.state.borrow().copies.newcomers(control.shared.clock.now()).count(), 0);
        let keys = PeerKeys::parse(KEYS).expect("valid keys");
        let copies = peers::fetch_copies(address, &keys, &ask(0)).await.expect("copies");
        assert_eq!(copies.cell.state.expect("newer").next_offset(), 3);
        assert_eq!(control.state.borrow().copies.newcomers(control.shared.clock.now()).count(), 1);
    });
    run.await;
}

/// Guards against a signature for one chunk that opens another one.
#[tokio::test]
async fn a_signature_holds_for_one_chunk_only() {
    let local = LocalSet::new();
    let (_control, address) = peer(&local, "entry-a", 3).await;
    let run = local.run_until(async {
        let (peer, system): (entry_peer::Client, _) = crate::rpc::connect(address).await.expect("a connection");
        tokio::task::spawn_local(system);
        let keys = PeerKeys::parse(KEYS).expect("valid keys");
        for index in [0, 1] {
            let challenge = peer.challenge_request().send().promise.await.expect("a challenge");
            let nonce = challenge.get().expect("a reply").get_nonce().expect("a nonce").to_vec();
            let signature = keys.sign(&nonce, "copy cell-0 0 0 entry-n 7 127.0.0.1:9");
            let mut request = peer.copy_request();
            let mut params = request.get();
            params.set_stream("cell-0");
            params.set_index(index);
            fescuelead_wire::messages::write_entry(&me("entry-n"), params.reborrow().init_from());
            params.set_address("127.0.0.1:9");
            params.set_key_id(signature.key_id.as_str());
            params.set_mac(&signature.mac);
            assert_eq!(request.send().promise.await.is_ok(), index == 0);
        }
    });
    run.await;
}

/// Guards against an entry that gives out a view that it has not read, or the stream of another cell.
#[tokio::test]
async fn an_entry_without_a_complete_view_gives_no_copy() {
    let control = control_of("entry-a");
    let address = "127.0.0.1:9".parse().expect("an address");
    assert!(control.give_copy("cell-0", &me("entry-n"), address).is_err());
    let local = LocalSet::new();
    let (control, _) = peer(&local, "entry-b", 1).await;
    assert!(control.give_copy("cell-0", &me("entry-n"), address).is_ok());
    assert!(control.give_copy("cell-1", &me("entry-n"), address).is_err());
}

/// Guards against a copy that counts as a view of the log, and an older copy that replaces a newer one.
#[tokio::test]
async fn an_older_copy_never_replaces_a_newer_state() {
    let local = LocalSet::new();
    let (old, _) = peer(&local, "entry-a", 3).await;
    let (new, _) = peer(&local, "entry-b", 5).await;
    let copy = |control: &Rc<Control>| {
        let state = control.state.borrow().cell.state().clone();
        (
            SocketAddr::from(([127, 0, 0, 1], 9)),
            FetchedCopy { as_of: state.next_offset(), age_ms: 4, state: Some(state) },
        )
    };
    let newcomer = control_of("entry-n");
    let now = newcomer.shared.clock.now();
    newcomer.adopt_cell(Some(copy(&new)), now);
    newcomer.adopt_cell(Some(copy(&old)), now);
    {
        let state = newcomer.state.borrow();
        assert_eq!(state.cell.state().next_offset(), 5);
        assert!(state.has_only_a_copy() && state.is_restricted());
        assert_eq!(state.peer_copy(now).expect("a copy").age_at_peer_ms, 4);
    }
    // A read of the log ends the time of copies, also of newer ones.
    let read = control_of("entry-r");
    read.state.borrow_mut().copies.cell_page(true);
    read.adopt_cell(Some(copy(&new)), now);
    assert_eq!(read.state.borrow().cell.state().next_offset(), 0);
}

/// Guards against an entry that writes to the log, or asks agents about keys, on the strength of a copy.
#[tokio::test]
async fn a_copy_makes_no_records() {
    let local = LocalSet::new();
    let (peer, _) = peer(&local, "entry-a", 3).await;
    let newcomer = control_of("entry-n");
    let state = peer.state.borrow().cell.state().clone();
    let copy = FetchedCopy { as_of: 3, age_ms: 4, state: Some(state) };
    newcomer.adopt_cell(Some((SocketAddr::from(([127, 0, 0, 1], 9)), copy)), newcomer.shared.clock.now());
    newcomer.tick();
    let now = newcomer.shared.clock.now();
    let state = &mut *newcomer.state.borrow_mut();
    assert!(state.cell_writer.poll(now).is_none() && state.config_writer.poll(now).is_none());
    assert_eq!(state.scheduler.waiting(), 0, "nothing is queued for placement");
}

/// Guards against a copy of the size to design for that does not arrive whole. Prints its bytes and time.
#[tokio::test]
async fn a_copy_with_6000_live_tasks_arrives_whole() {
    let local = LocalSet::new();
    let (control, address) = peer(&local, "entry-a", 6_000).await;
    let image = CopyImage::new(control.state.borrow().cell.state()).expect("encodes");
    let bytes: usize = (0..image.count()).filter_map(|index| image.chunk(index)).map(<[u8]>::len).sum();
    let keys = PeerKeys::parse(KEYS).expect("valid keys");
    let run = local.run_until(async {
        let start = tokio::time::Instant::now();
        let copies = peers::fetch_copies(address, &keys, &ask(0)).await.expect("copies");
        println!("{bytes} bytes in {} chunks, {:?}", image.count(), start.elapsed());
        let copied = copies.cell.state.expect("newer").to_image();
        assert_eq!(copied, control.state.borrow().cell.state().to_image());
        let unchanged = peers::fetch_copies(address, &keys, &ask(6_000)).await.expect("an answer");
        assert!(unchanged.cell.state.is_none(), "only its age is told again");
    });
    run.await;
}
