# The flags that keep the whole process within 192 MB stand in the deploy file's run command.
RUN = $(shell sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)

.PHONY: sites prove-scale prove-accord prove-accord-sim build test lint run run-ledger toy clean prove-ledger prove-upgrade prove-spread prove-fleet-limits prove-request-path prove-state prove-limits-at-size capacity-page prove-event-log-sim prove-faults format architecture prove-cache-count

build:
	sh deploy/build.sh

test:
	mvn -B -ntp verify

lint:
	mvn -B -ntp -q checkstyle:check

# Renders the picture of docs/ARCHITECTURE.md; needs Debian's graphviz.
architecture:
	dot -Tsvg docs/architecture.dot -o docs/architecture.svg

# Lays all Java sources out as formatter.xml says.
format:
	mvn -B -ntp -q formatter:format

# A director with the example's configuration; `make toy` plays all that it talks to.
run: build
	BALANCER_CONFIG=example/config.json $(RUN)

# The same with a ledger of two tenants, in target/example.
run-ledger: build
	BALANCER_CONFIG=example/config.json $(RUN) --settings example/settings.json

# Minutes: directors and exporters killed under load, then what the ledger costs. Needs some 3 GB of disk.
prove-ledger:
	mvn -B -ntp -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -Xmx2g $(PROVE) -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.LedgerProof

# Some three minutes: forty upgrades under load, on one socket, processes killed among them. Needs perl.
prove-upgrade:
	mvn -B -ntp -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java $(PROVE) -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.UpgradeProof

# Some two minutes: the emulator at 10, 100 and 1,000 directors through the hard cases, then real processes with faults.
prove-spread:
	mvn -B -ntp -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java $(PROVE) -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.SpreadProof

# Some four minutes: limits of the whole fleet in the emulator, then real processes over links that fail.
prove-fleet-limits:
	mvn -B -ntp -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java $(PROVE) -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.LimitsProof

# Some eight minutes: real directors that agree on a policy, killed, stopped and cut off while operators change it.
prove-accord:
	mvn -B -ntp -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java $(PROVE) -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.AccordProof

# Some two minutes: the same tasks on the emulated world, 1,000 seeds of faults, then 100 and 1,000 directors.
prove-accord-sim:
	mvn -B -ntp -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java $(PROVE) -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.AccordSimProof

# Some eight minutes: real and hollow directors at 60, 180 and 540, then lines through what they cost, as CSV in
# docs/capacity. PROVE=-Dsizes=60 measures one size; its rows replace those that are there.
prove-scale:
	mvn -B -ntp -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -Xmx1g $(PROVE) -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.scale.ScaleProof

# Some three minutes: processor time and memory of a real director's request path; writes docs/capacity/request-path.csv.
prove-request-path: build
	mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.capacity.RequestPathProof

# A minute: what the classes of a director remember at their bounds; writes docs/capacity/state.csv. Run nothing beside it.
prove-state:
	mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -XX:+UseSerialGC -Xmx1g -Dquiet=true -cp target/test-classes:target/classes:$$(cat target/test.classpath) \
	    clovermill.prove.capacity.StateProof

# A limit of the whole fleet at 60 to 1,080 directors, in simulated time; writes docs/capacity/limits.csv.
prove-limits-at-size:
	mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.capacity.LimitsAtSize

# Two minutes: a real director with the usual number of caches and 16 times as many; writes docs/capacity/cache-count.csv
# and the table of docs/design/cache-count.md. PROVE="-Dtrial=true -Dpairs=1 -Dday=6": a look that writes nothing.
prove-cache-count: build
	mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java $(PROVE) -cp target/test-classes:target/classes:$$(cat target/test.classpath) \
	    clovermill.prove.capacity.CacheCountProof

# Writes the figures of docs/capacity/*.csv into docs/CAPACITY.md.
capacity-page:
	mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.capacity.CapacityTables

# The event log on the emulated world: 1,000 seeds of faults, then what 60, 180 and 540 directors spend.
prove-event-log-sim:
	mvn -B -ntp -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java $(PROVE) -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.EventLogSimProof

# Some nine minutes: real directors whose wall clock is stepped, whose calls on sockets fail and whose files cannot be
# written, 100 seeds. Needs a C compiler (Debian: gcc, libc6-dev). PROVE="-Dfirst=7 -Dseeds=1 -Dverbose=true": one seed.
prove-faults:
	mvn -B -ntp -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java $(PROVE) -cp target/test-classes:target/classes:$$(cat target/test.classpath) clovermill.prove.faults.FaultProof

# Lays the bench's own files beside the made-up customers of deploy/sites, where the kit is at hand; git ignores them.
KIT = ../given/kit/more/mass/other
sites:
	@if [ -d $(KIT) ]; then for site in deploy/sites/*/; do \
	  for file in real.json wire.json unlock.txt; do install -m 644 $(KIT)/$$file $$site$$file; done; done; \
	else echo "no kit beside this folder: nothing laid"; fi

toy:
	java example/ToyServer.java

clean:
	mvn -B -ntp -q clean
