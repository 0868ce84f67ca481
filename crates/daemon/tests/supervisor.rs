//! Guards against a gateway that goes on without one of its background tasks, and against a task
//! that starts again without a pause.

use {
    log::{LevelFilter, Log, Metadata, Record},
    sassafrasslip_daemon::gateway::supervisor::supervise,
    sassafrasslip_testkit::test_cases,
    std::{cell::RefCell, future::pending, rc::Rc, sync::Mutex, time::Duration},
    tokio::{
        task::LocalSet,
        time::{Instant, sleep},
    },
};

/// Lines that were logged by this program so far.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineLog;

impl Log for LineLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let field = |name: &str| record.key_values().get(name.into());
        if let (Some(task), Some(cause)) = (field("task"), field("cause")) {
            LINES.lock().unwrap().push(format!("{task}: {cause}"));
        }
    }

    fn flush(&self) {}
}

#[derive(Clone, Copy, Debug)]
enum TaskEnd {
    Panic,
    Return,
}

/// Runs a task that ends `ends` times; returns when it has started.
async fn starts(task: &'static str, end: TaskEnd, ends: usize) -> Vec<Instant> {
    let starts: Rc<RefCell<Vec<Instant>>> = Rc::default();
    supervise(&starts, task, move |starts| async move {
        starts.borrow_mut().push(Instant::now());
        if starts.borrow().len() > ends {
            return pending().await;
        }
        match end {
            TaskEnd::Panic => panic!("odd input"),
            TaskEnd::Return => {}
        }
    });
    sleep(Duration::from_secs(300)).await;
    starts.take()
}

async fn check_end(task: &'static str, end: TaskEnd, cause: &str) {
    let _ = log::set_logger(&LineLog);
    log::set_max_level(LevelFilter::Info);
    tokio::time::pause();
    let started = LocalSet::new().run_until(starts(task, end, 8)).await;
    let pauses = started.windows(2).map(|pair| pair[1] - pair[0]);
    let pauses: Vec<_> = pauses.map(|pause| pause.as_millis()).collect();
    assert_eq!(pauses.len(), 8, "{pauses:?}");
    let expected = [250, 500, 1000, 2000, 4000, 8000, 8000, 8000];
    assert!(
        pauses
            .iter()
            .zip(expected)
            .all(|(pause, expected)| pause.abs_diff(expected) < 10),
        "{pauses:?}"
    );
    let lines = LINES.lock().unwrap();
    let lines = lines.iter().filter(|line| line.contains(task));
    let lines: Vec<_> = lines.filter(|line| line.contains(cause)).collect();
    assert_eq!(lines.len(), 8, "{lines:?}");
}

test_cases! {
    async fn check_end(task: &'static str, end: TaskEnd, cause: &str);
    task_that_panics_is_gone: ("panicking", TaskEnd::Panic, "odd input");
    task_that_returns_is_gone: ("returning", TaskEnd::Return, "returned");
}
