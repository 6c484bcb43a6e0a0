# The flags that keep the whole process within 192 MB stand in the deploy file's run command.
RUN = $(shell sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)

.PHONY: build test lint run toy clean

build:
	sh deploy/build.sh

test:
	mvn -B -ntp verify

lint:
	mvn -B -ntp -q checkstyle:check

# A director with the example's configuration; `make toy` plays all that it talks to.
run: build
	BALANCER_CONFIG=example/config.json $(RUN)

toy:
	java example/ToyServer.java

clean:
	mvn -B -ntp -q clean
