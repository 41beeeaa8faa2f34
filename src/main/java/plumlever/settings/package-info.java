/**
 * The settings: the platform's file (TOML), the operators' file (YAML) with the scheduler's
 * parameters, and how shards share machines.
 *
 * <p>Everything is read and checked once, at the start; errors name the file, the key and the
 * reason. It must not know what the settings are used for.
 */
package plumlever.settings;
