//! Use of the retry budgets by the other gateways, which is handed to the next process of a gateway
//! when one has ended.

use {
    super::retry_allowance::RetryUsage,
    crate::ids::ServiceName,
    std::{collections::HashMap, mem, net::Ipv4Addr, time::Duration},
    tokio::time::Instant,
};

/// What the previous process of a gateway had used of the retry budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct PreviousUsage {
    /// When its last report arrived.
    pub as_of: Instant,
    /// Number of gateways that share the budgets.
    pub gateways: u32,
    /// Use by service; a service without retries is missing.
    pub services: Vec<(ServiceName, RetryUsage)>,
}

/// Report of a gateway about its retry budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Whether the gateway has a part of the fixed allowance.
    pub has_part: bool,
    /// Use by service; a service without retries is missing.
    pub services: Vec<(ServiceName, RetryUsage)>,
}

#[derive(Debug)]
struct KnownUsage {
    report: UsageReport,
    heard_at: Instant,
    /// Incarnation before the present one, whose late reports are ignored.
    ended: Option<u64>,
    /// Use by the previous processes, until the present one counts it in its reports.
    previous: Option<PreviousUsage>,
}

/// Reported use of the retry budgets by address of the gateway.
#[derive(Debug)]
pub struct RetryHandover {
    /// Time for which the use by a process counts after its last report.
    window: Duration,
    known: HashMap<Ipv4Addr, KnownUsage>,
}

impl RetryHandover {
    /// Creates a record without reports. `window` is that of the retry budgets.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            known: HashMap::new(),
        }
    }

    /// Records a report; returns whether there is use of the previous process to hand over now.
    /// `gateways` is the number of gateways that share the budgets.
    pub fn record(
        &mut self,
        address: Ipv4Addr,
        report: UsageReport,
        gateways: u32,
        now: Instant,
    ) -> bool {
        self.known
            .retain(|_, known| now < known.heard_at + self.window);
        let Some(known) = self.known.get_mut(&address) else {
            let known = KnownUsage {
                report,
                heard_at: now,
                ended: None,
                previous: None,
            };
            self.known.insert(address, known);
            return false;
        };
        if known.ended == Some(report.incarnation) {
            return false;
        }
        let is_restart = known.report.incarnation != report.incarnation;
        if is_restart {
            known.end_process(gateways);
        } else if report.sequence <= known.report.sequence {
            return false;
        }
        if report.has_part {
            known.previous = None;
        }
        known.report = report;
        known.heard_at = now;
        is_restart && known.previous.is_some()
    }

    /// Returns the use that has to be handed over, by address of the gateway.
    pub fn news(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, &PreviousUsage)> {
        let known = self.known.iter();
        let news = known.filter_map(|(address, known)| Some((*address, known.previous.as_ref()?)));
        news.filter(move |(_, previous)| now < previous.as_of + self.window)
    }
}

impl KnownUsage {
    /// Adds the use by the present process, which has ended, to that of the previous ones. A gateway
    /// without a part that never had a previous process passes none on.
    fn end_process(&mut self, gateways: u32) {
        let earlier = self.previous.take();
        self.ended = Some(self.report.incarnation);
        if !self.report.has_part && earlier.is_none() {
            return;
        }
        let mut services = mem::take(&mut self.report.services);
        for (service, usage) in earlier.into_iter().flat_map(|earlier| earlier.services) {
            match services.iter_mut().find(|(known, _)| *known == service) {
                Some((_, known)) => known.add(&usage),
                None => services.push((service, usage)),
            }
        }
        self.previous = Some(PreviousUsage {
            as_of: self.heard_at,
            gateways,
            services,
        });
    }
}
