"""Try decisions of direct routers on a model of engines, in virtual time."""
