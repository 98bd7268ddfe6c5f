"""HTTP front for clients: the platform's request protocol, and the deferred-job API under /jobs."""
