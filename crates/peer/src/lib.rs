//! Messages and transport between proxies.
