//! Routing policies that choose the group of a request.

use {rand::RngExt, rand_chacha::ChaCha8Rng};

/// Routing policy of a run. To compare another policy, such as the router of the core, add a
/// variant here and in [`RoutingVariant::choose`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutingVariant {
    /// Groups in turn.
    RoundRobin,
    /// The group with the fewest requests in flight.
    LeastInFlight,
    /// The one of two random groups with fewer requests in flight (power of two choices).
    TwoChoices,
}

impl RoutingVariant {
    /// All policies, in the order of the printed tables.
    pub const ALL: [Self; 3] = [Self::RoundRobin, Self::LeastInFlight, Self::TwoChoices];

    /// Returns the name in the printed tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::LeastInFlight => "least in flight",
            Self::RoundRobin => "round robin",
            Self::TwoChoices => "two random choices",
        }
    }

    /// Returns the index of the group for a request. `request_number` counts the requests of the
    /// run, and `in_flight` holds the requests in flight at each group.
    pub fn choose(self, request_number: u64, in_flight: &[f64], random: &mut ChaCha8Rng) -> usize {
        let groups = in_flight.len();
        match self {
            Self::LeastInFlight => least_loaded(0..groups, in_flight),
            Self::RoundRobin => (request_number % groups as u64) as usize,
            Self::TwoChoices => {
                let choices = [
                    random.random_range(0..groups),
                    random.random_range(0..groups),
                ];
                least_loaded(choices.into_iter(), in_flight)
            }
        }
    }
}

fn least_loaded(groups: impl Iterator<Item = usize>, in_flight: &[f64]) -> usize {
    let least = groups.min_by(|left, right| in_flight[*left].total_cmp(&in_flight[*right]));
    least.unwrap_or_default()
}
