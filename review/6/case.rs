//! Case 6: entries of another writer in the list of servers make the list too long for the gateway. It
//! goes on with the list that it has, and sends requests to a server that is draining until that ends.

#[path = "../kit-2.rs"]
mod kit;

use {
    kit::{BROKEN, Gateway, HELD, KEY, Record, Seen, Servers, Store},
    std::{
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Entries of the other writer, and the length of each in bytes, which is what the store takes at most.
const FOREIGN_ENTRIES: usize = 60;
const FOREIGN_BYTES: usize = 65_536;

/// Ordinary consumers, each with a kept channel and one order after the other.
const CONSUMERS: usize = 12;

/// Time within which no more requests may reach a server whose draining the store has confirmed.
const DRAIN_LIMIT: Duration = Duration::from_millis(2000);

/// Time for which the draining server serves on after that, as servers do at times.
const LINGER: Duration = Duration::from_secs(4);

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.put("op", "config", kit::manifest());
    let servers = Servers::start(&store, 3, Duration::from_millis(300), |_| 800);
    let mut gateway = Gateway::start(&store);
    let front = gateway.front;
    let is_over = Arc::new(AtomicBool::new(false));
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let consumers = (0..CONSUMERS).map(|number| {
        let (seen, is_over) = (Arc::clone(&seen), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut turn = 0;
            while !is_over.load(Ordering::Relaxed) {
                let Ok(mut channel) = kit::connect(front, Duration::from_secs(2)) else {
                    continue;
                };
                let mut is_open = true;
                while is_open && !is_over.load(Ordering::Relaxed) {
                    turn += 1;
                    let id = format!("order-{number}-{turn}");
                    let request = kit::request("/puxa403/2f", &id, 1500, KEY);
                    let answer = kit::exchange(&mut channel, &id, request.as_bytes());
                    is_open = answer.answer.is_some();
                    seen.lock().unwrap().push(answer);
                    thread::sleep(Duration::from_millis(20));
                }
            }
        })
    });
    let consumers: Vec<_> = consumers.collect();
    thread::sleep(Duration::from_secs(2));
    if kit::has_trouble() {
        // An entry whose service is of another type; it names no server to use.
        let padding = "x".repeat(FOREIGN_BYTES - 24);
        for number in 0..FOREIGN_ENTRIES {
            let entry = format!(r#"{{"service":7,"note":"{padding}"}}"#);
            assert!(entry.len() <= FOREIGN_BYTES);
            store.put("servers", &format!("other-{number}"), entry);
        }
        record.note(format_args!("{FOREIGN_ENTRIES} entries of another writer stored"));
    }
    thread::sleep(Duration::from_secs(2));
    let leaving = "i-7f3a91c0";
    servers.report(&store, leaving, "draining");
    let confirmed_at = Instant::now();
    record.note(format_args!("the store has confirmed that {leaving} is draining"));
    thread::sleep(DRAIN_LIMIT + LINGER);
    servers.end(leaving);
    store.remove("servers", leaving);
    record.note(format_args!("{leaving} has ended, its entry is removed"));
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let has_ended = gateway.has_ended();
    gateway.kill();
    let runs = servers.runs.lock().unwrap();
    let seen = seen.lock().unwrap();
    let late = |id: &str| {
        runs.iter().any(|run| {
            run.id == id && run.server == leaving && run.started_at > confirmed_at + DRAIN_LIMIT
        })
    };
    let (mut reached, mut lost) = (0, 0);
    for seen in seen.iter() {
        let took = seen.ended_at.duration_since(seen.sent_at).as_millis();
        let is_late = late(&seen.id);
        let is_whole = seen.answer == Some((200, true));
        reached += usize::from(is_late);
        lost += usize::from(is_late && !is_whole);
        record.note(format_args!(
            "{} {:?} after {took} ms, reached the draining server late: {is_late}",
            seen.id, seen.answer
        ));
    }
    record.say(format_args!(
        "{} orders; {reached} reached {leaving} later than {} ms after the store had confirmed that it is draining, \
         and {lost} of these began there and were not answered whole; the gateway has ended: {has_ended}",
        seen.len(),
        DRAIN_LIMIT.as_millis()
    ));
    drop(gateway);
    exit(if reached > 0 { BROKEN } else { HELD })
}
