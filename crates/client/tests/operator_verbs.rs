//! Guards the client's subcommands, error texts and exit codes. The client calls entries that run
//! in the test process on a table in memory.

#[path = "../../daemon/tests/configuration_support/mod.rs"]
mod configuration_support;

use {
    configuration_support::{
        TestEntry, start_entries,
        table::{MemoryTable, TableFault},
    },
    serde_json::Value,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::atomic::Ordering,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
        net::{TcpListener, TcpStream},
        task::spawn_blocking,
    },
    tokio_util::sync::CancellationToken,
};

struct ClientRun {
    code: u8,
    output: String,
    errors: String,
}

impl ClientRun {
    fn json(&self) -> Value {
        serde_json::from_str(&self.output).unwrap_or_else(|_| panic!("{}", self.errors))
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn serve(entry: &TestEntry) -> SocketAddr {
    let (listener, address) = listen().await;
    let (actor, fleet) = (entry.actor.clone(), entry.fleet.clone());
    let draining = CancellationToken::new();
    tokio::spawn(sassafrasslip_daemon::entry::operators::serve(
        listener, actor, fleet, draining,
    ));
    address
}

/// Runs the client with the arguments of a line; `~` stands for a space within an argument.
async fn run(entry: SocketAddr, line: &str) -> ClientRun {
    let entry = entry.to_string();
    let mut arguments = vec!["sassafrasslip".to_owned(), "--entry".to_owned(), entry];
    arguments.extend(line.split_whitespace().map(|word| word.replace('~', " ")));
    let run = spawn_blocking(move || {
        let (mut output, mut errors) = (Vec::new(), Vec::new());
        let code = sassafrasslip_client::run_with(arguments, &mut output, &mut errors);
        ClientRun {
            code,
            output: String::from_utf8(output).unwrap(),
            errors: String::from_utf8(errors).unwrap(),
        }
    });
    run.await.unwrap()
}

#[tokio::test]
async fn defaults_are_set_listed_and_recorded() {
    let entry = start_entries(&MemoryTable::new(), 1).await.remove(0);
    let address = serve(&entry).await;
    let set = "defaults set retry.attempts 2 --operator aziza --reason less~load --output json";
    let set = run(address, set).await;
    assert_eq!(set.code, 0, "{}", set.errors);
    assert_eq!(set.json()["accepted"], true);
    let show = run(address, "defaults show retry.attempts").await.output;
    assert!(show.contains("retry.attempts: 2 attempts"), "{show}");
    let list = run(address, "defaults list").await.output;
    assert!(list.contains("limits.team_rate"), "{list}");
    let history = run(address, "history --output json").await.json();
    let change = &history["changes"][0];
    assert_eq!(change["item"], "default/retry.attempts");
    assert_eq!(change["before"], Value::Null);
    assert_eq!(change["after"], "2 attempts");
    assert_eq!(change["operator"], "aziza");
    assert_eq!(change["reason"], "less load");
}

#[tokio::test]
async fn exceptions_are_added_listed_and_removed() {
    let entry = start_entries(&MemoryTable::new(), 1).await.remove(0);
    let address = serve(&entry).await;
    let add = "exceptions add night team=shop limits.team_rate 300 --operator aziza";
    let added = run(address, &format!("{add} --reason sponsor~season")).await;
    assert_eq!(added.code, 0, "{}", added.errors);
    let list = run(address, "exceptions list").await.output;
    assert!(list.contains("team=shop"), "{list}");
    assert!(list.contains("sponsor season"), "{list}");
    let duplicate = format!("{} --reason again", add.replace("night", "twin"));
    let duplicate = run(address, &duplicate).await;
    assert_eq!(
        duplicate.code, 3,
        "same scope and key: {}",
        duplicate.errors
    );
    assert!(duplicate.errors.contains("`scope`"), "{}", duplicate.errors);
    assert!(duplicate.errors.contains("night"), "{}", duplicate.errors);
    let remove = "exceptions remove night --operator aziza";
    assert_eq!(run(address, remove).await.code, 0);
    assert_eq!(run(address, remove).await.code, 1, "removed twice");
}

#[tokio::test]
async fn invalid_arguments_and_fields_are_named() {
    let entry = start_entries(&MemoryTable::new(), 1).await.remove(0);
    let address = serve(&entry).await;
    let add = "exceptions add x team=t retry.attempts 2 --operator a";
    let cases = [
        ("defaults set retry.attempts 99 --operator a", 1, "`value`"),
        ("defaults set retry.speed 9 --operator a", 2, "retry.speed"),
        (add, 2, "--reason"),
        (&format!("{add} --reason ~"), 2, "written reason"),
        (&add.replace("team", "place"), 2, "place=t"),
        ("history --limit 0", 1, "`limit`"),
        ("explain 00000000000000aa-1", 1, "`request_id`"),
        ("drain target-9 --operator a", 1, "`instance`"),
    ];
    for (line, code, text) in cases {
        let run = run(address, line).await;
        assert_eq!(run.code, code, "{line}: {}", run.errors);
        assert!(run.errors.contains(text), "{line}: {}", run.errors);
    }
}

#[tokio::test]
async fn conflict_shows_the_current_value() {
    let entry = start_entries(&MemoryTable::new(), 1).await.remove(0);
    let address = serve(&entry).await;
    let set = "defaults set retry.attempts 2 --operator a --expect-revision 0";
    assert_eq!(run(address, set).await.code, 0);
    let conflict = run(address, set).await;
    assert_eq!(conflict.code, 3);
    assert!(
        conflict.errors.contains("2 attempts"),
        "{}",
        conflict.errors
    );
}

#[tokio::test]
async fn unreachable_table_and_entry_have_their_exit_code() {
    let entry = start_entries(&MemoryTable::new(), 1).await.remove(0);
    let address = serve(&entry).await;
    entry.table_client.set_fault(TableFault::Down);
    let set = "defaults set retry.attempts 2 --operator a --change-id c1";
    let refused = run(address, set).await;
    assert_eq!(refused.code, 4);
    let hint = refused.errors.contains("--change-id c1");
    assert!(hint, "{}", refused.errors);
    let (listener, closed) = listen().await;
    drop(listener);
    assert_eq!(run(closed, "status").await.code, 4);
}

#[tokio::test]
async fn unconfirmed_change_has_its_exit_code() {
    let entries = start_entries(&MemoryTable::new(), 2).await;
    let address = serve(&entries[0]).await;
    entries[1].fleet.hangs.store(true, Ordering::SeqCst);
    let set = run(address, "defaults set retry.attempts 2 --operator a").await;
    assert_eq!(set.code, 5, "{}", set.errors);
    assert!(set.errors.contains("entry-2"), "{}", set.errors);
}

#[tokio::test]
async fn drain_reaches_the_target() {
    let entry = start_entries(&MemoryTable::new(), 1).await.remove(0);
    let address = serve(&entry).await;
    let drain = run(address, "drain target-1 --operator a").await;
    assert_eq!(drain.code, 0, "{}", drain.errors);
    let undo = run(address, "drain target-1 --undo --operator a").await;
    assert_eq!(undo.code, 0, "{}", undo.errors);
    let drained = entry.fleet.drained.lock().unwrap().clone();
    let flags: Vec<_> = drained.iter().map(|(_, draining)| *draining).collect();
    assert_eq!(flags, [true, false]);
    let status = run(address, "status").await.output;
    assert!(status.contains("target-1"), "{status}");
}

/// Relays connections to an entry, but closes the first one as soon as the entry has begun to
/// answer.
async fn cut_first_answer(listener: TcpListener, entry: SocketAddr) {
    let (mut client, _) = listener.accept().await.unwrap();
    let mut upstream = TcpStream::connect(entry).await.unwrap();
    let mut request = vec![0; 4096];
    let length = client.read(&mut request).await.unwrap();
    upstream.write_all(&request[..length]).await.unwrap();
    upstream.read_u8().await.unwrap();
    drop(client);
    let (mut client, _) = listener.accept().await.unwrap();
    let mut upstream = TcpStream::connect(entry).await.unwrap();
    let _ = copy_bidirectional(&mut client, &mut upstream).await;
}

/// Guards against a change that is committed twice: the connection breaks while the entry answers,
/// so the client cannot know the result and sends the change again.
#[tokio::test]
async fn lost_answer_is_repeated_with_the_same_change_id() {
    let table = MemoryTable::new();
    let entry = start_entries(&table, 1).await.remove(0);
    let address = serve(&entry).await;
    let (listener, relay) = listen().await;
    tokio::spawn(cut_first_answer(listener, address));
    let set = "defaults set retry.attempts 2 --operator a --output json";
    let set = run(relay, set).await;
    assert_eq!(set.code, 0, "{}", set.errors);
    assert_eq!(set.json()["repeated"], true);
    let changes = table.keys("config/change/");
    assert_eq!(changes.len(), 1, "the retried change was committed again");
}

#[tokio::test]
async fn completions_need_no_entry() {
    let entry = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let script = run(entry, "completions bash").await;
    assert_eq!(script.code, 0);
    assert!(
        script.output.contains("exceptions"),
        "the script lacks the subcommands"
    );
}
