"""Client connections over HTTP: the platform's protocol, and the API of deferred jobs below /jobs."""
