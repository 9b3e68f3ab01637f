/**
 * What grows with the fleet, and how fast: slopes over several sizes. Voters are processes of their
 * own with their disks; all other members are hollow, real members over real connections with no
 * gateway in front, many on one loop.
 */
package hazelspoke.bench.scale;
