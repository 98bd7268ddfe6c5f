"""The Gearman front: clients submit jobs over the Gearman protocol, and connected workers are backends."""
