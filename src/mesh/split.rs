//! Divides the requests of a route among its services by weight.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use super::site::Route;

/// The credit of each service of each split route.
///
/// Smooth weighted round robin: over any span, the number of requests of a service differs from its
/// weighted share by less than one, so the shares hold for small numbers of requests too.
#[derive(Debug, Default)]
pub struct Splitter {
    credits: RefCell<HashMap<Rc<str>, Vec<i64>>>,
}

impl Splitter {
    /// The index in `route.split` of the service for the next request.
    pub fn next(&self, route: &Route) -> usize {
        if route.split.len() < 2 {
            return 0;
        }
        let mut credits = self.credits.borrow_mut();
        let credit = credits.entry(Rc::clone(&route.name)).or_default();
        if credit.len() != route.split.len() {
            *credit = vec![0; route.split.len()];
        }
        let total: i64 = route.split.iter().map(|share| i64::from(share.weight)).sum();
        let mut chosen = 0;
        for (index, share) in route.split.iter().enumerate() {
            credit[index] += i64::from(share.weight);
            if credit[index] > credit[chosen] {
                chosen = index;
            }
        }
        credit[chosen] -= total;
        chosen
    }
}
