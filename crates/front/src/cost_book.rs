//! What this entry learned of the cost of requests, by service and by route.

use std::sync::Arc;

use domain::{
    ServiceName,
    kv_placement::{EngineEstimate, RouteEstimate},
};

/// A route's requests at a service.
type RouteKey = (ServiceName, Box<str>);

/// Owner of the estimates. Requests keep those that they use, and the keys come from
/// the desired state, so the book grows with the routes that it named.
#[derive(Debug, Default)]
pub(crate) struct CostBook {
    engines: papaya::HashMap<ServiceName, Arc<EngineEstimate>>,
    routes: papaya::HashMap<RouteKey, Arc<RouteEstimate>>,
}

impl CostBook {
    /// Returns the estimate of a service's engines.
    pub(crate) fn engine(&self, service: &ServiceName) -> Arc<EngineEstimate> {
        let engines = self.engines.pin();
        Arc::clone(engines.get_or_insert_with(service.clone(), Arc::default))
    }

    /// Returns the estimate of a route's requests at a service.
    pub(crate) fn route(&self, service: &ServiceName, route: &str) -> Arc<RouteEstimate> {
        let routes = self.routes.pin();
        let key = (service.clone(), Box::from(route));
        Arc::clone(routes.get_or_insert_with(key, Arc::default))
    }
}
