package clovermill.module;

import clovermill.memory.Breaker;
import clovermill.memory.Credit;
import clovermill.memory.Held;
import clovermill.spread.decide.LearnedRoom;
import clovermill.spread.decide.SharedLoad;

/** A member, or the link in, as this director knows it. */
final class Node {

    enum Role { CACHE, PARENT, ORIGIN }

    final String id;
    final Held held = new Held();
    final SharedLoad shared = new SharedLoad();
    final LearnedRoom room = new LearnedRoom();
    final Breaker breaker = new Breaker();
    final Credit credit = new Credit();
    Role role = Role.CACHE;
    int zone;
    int cell;
    double weight;
    long startedUs;
    boolean listed;

    Node(String id) {
        this.id = id;
    }
}
