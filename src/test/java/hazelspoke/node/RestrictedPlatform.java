package hazelspoke.node;

import java.net.NetPermission;
import java.security.Permission;

/** A platform that denies Unix domain sockets and the start of other programs. */
@SuppressWarnings("removal")
public final class RestrictedPlatform extends SecurityManager {
  private static final NetPermission UNIX_SOCKETS = new NetPermission("accessUnixDomainSocket");

  @Override
  public void checkPermission(Permission permission) {
    if (UNIX_SOCKETS.equals(permission)) {
      throw new SecurityException("Unix domain sockets are not allowed");
    }
  }

  @Override
  public void checkExec(String program) {
    throw new SecurityException("starting other programs is not allowed");
  }
}
